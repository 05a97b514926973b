// The flag API beside the booking traffic: off unless `run` names this file (--flags deploy/flags.jsonnet). The
// platform gives no further listener, so there it stays off. docs/flags.md has every field and its default.
local seconds(n) = n + 's';
local server(name, address, build, location, status='up') =
  { name: name, address: address, build: build, location: location, status: status };
{
  name: 'flags',
  listen: '127.0.0.1:8016',
  agents: 1,
  methods: {
    one: { aim: '100ms', deadline: seconds(1) },
    all: { aim: '200ms', deadline: seconds(2) },
    tracked: { window: seconds(5), group: 'all' },
  },
  servers: [
    server('flags-1', '127.0.0.1:8101', 1, 'east'),
    server('flags-2', '127.0.0.1:8102', 1, 'west'),
  ],
  rollout: { caps: [0.05, 0.2, 0.5], window: seconds(10), soak: seconds(30), guarded: 1 },
  order: { keys: 100000 },
  keep: {
    bytes: 8 * 1024 * 1024,
    flags: [{ match: '*', cachedFor: seconds(30), staleFor: '10m' }],
  },
}
