// The rate at which one core rejects connections, and the effect on requests in flight.
local lab = import 'common.libsonnet';
{
  name: 'refusals',
  about: 'Ten good clients on kept connections; 128 connections at a time from an address that may hold one, each back ' +
         '1 ms after its refusal.',
  seconds: 5,
  settle: 1,
  classes: lab.classes,
  platform: lab.platform(),
  fleet: lab.fleet { groups: 1, members: 2, cores: 8 },
  routers: lab.routers,
  loads: [{ name: 'good', clients: 10, address: '127.0.0.51', mix: lab.mix }],
  floods: [{ name: 'flood', connections: 128, address: '127.0.3.52', says: 'nothing', pause_ms: 1 }],
  local own = { admission: { per_address: 1, per_prefix: 40, shared: ['127.0.0.51/32'] } },
  arms: [
    { name: 'calm', own: own },
    { name: 'refusing', own: own, floods: ['flood'] },
  ],
  checks: [
    { name: 'good clients: served, against calm', value: 'refusing.good.served_per_s', over: 'calm.good.served_per_s', min: 0.85 },
    { name: 'refused in 5 s', value: 'refusing.flood.told', min: 25000 },
    { name: 'heard why', value: 'refusing.flood.told_share', min: 0.99 },
    { name: 'memory, against calm', value: 'refusing.routers.most_mb', over: 'calm.routers.most_mb', max: 1.3 },
  ],
}
