// One process of two sites: serve --config agent.json --door 127.0.0.1:8600 --sites deploy/sites.jsonnet
{
  site: 'east',
  seeds: [{ at: '127.0.0.1:8600' }, { at: '127.0.0.1:8700' }],
  every: '1s',
  answerWithin: '500ms',
}
