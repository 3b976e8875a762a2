// A second of everything: kept and new connections, a flood, a reload, a server that dies.
local lab = import '../../../deploy/lab/common.libsonnet';
local own(n) = { admission: { per_address: n, shared: ['127.0.0.61/32'] } };
{
  name: 'tiny',
  seconds: 1,
  settle: 0.2,
  classes: lab.classes,
  platform: lab.platform(),
  fleet: lab.fleet { groups: 1, members: 2 },
  routers: lab.routers { own: own(2) },
  loads: [
    { name: 'kept', clients: 2, address: '127.0.0.61', mix: lab.mix },
    { name: 'fresh', clients: 4, per_s: 50, fresh: 1, address: '127.0.0.61', mix: lab.mix },
  ],
  floods: [{ name: 'flood', connections: 5, address: '127.0.0.62', says: 'half', pause_ms: 5 }],
  arms: [
    { name: 'one', floods: ['flood'], events: [
      { at_s: 0.3, do: 'reload', own: own(3) },
      { at_s: 0.4, do: 'slow', server: 's-1-2', times: 3 },
      { at_s: 0.5, do: 'kill', server: 's-1-2' },
      { at_s: 0.7, do: 'restart', server: 's-1-2' },
    ] },
    { name: 'dead', loads: ['kept'], events: [{ at_s: 0.2, do: 'kill', router: 0 }, { at_s: 0.5, do: 'start', router: 0 }] },
  ],
  checks: [
    { name: 'served', value: 'one.kept.served', min: 1 },
    { name: 'doubled', value: 'one.servers.doubled', max: 0 },
    { name: 'lost', value: 'one.kept.lost', max: 0 },
    { name: 'told', value: 'one.flood.told_share', min: 1 },
  ],
}
