// An agent that serves flags from the fake flag servers started by `honeygap standin flags`.
local server(i, build) = {
  name: 'flags-' + i,
  address: '127.0.0.1:' + (18100 + i),
  build: build,
  location: 'here',
};
{
  name: 'flags',
  listen: '127.0.0.1:18016',
  servers: [server(1, 1), server(2, 1), server(3, 2)],
  rollout: { caps: [0.2, 0.5], soak: '5s', window: '2s' },
  keep: { flags: [{ match: '*', cachedFor: '30s', staleFor: '10m' }] },
}
