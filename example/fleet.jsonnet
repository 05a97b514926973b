// Three agents with doors on loopback, as docs/manage.md starts the first of them.
{
  listen: '127.0.0.1:18700',
  store: 'fleet.store',
  instances: [
    { name: 'a' + i, door: '127.0.0.1:' + (18700 + i), labels: { location: if i % 2 == 0 then 'east' else 'west' } }
    for i in [1, 2, 3]
  ],
}
