// Three agents with admin endpoints on loopback; docs/manage.md shows how to start the first one.
{
  listen: '127.0.0.1:18700',
  store: 'fleet.store',
  instances: [
    { name: 'a' + i, door: '127.0.0.1:' + (18700 + i), labels: { location: if i % 2 == 0 then 'east' else 'west' } }
    for i in [1, 2, 3]
  ],
}
