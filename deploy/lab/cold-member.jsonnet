// The primary of each group is killed and restarts with cold caches 1.5 s later. The routers have no fault: the
// remaining servers must carry the load.
local lab = import 'common.libsonnet';
local load = 'clients';
local all(at, what) = [{ at_s: at, do: what, server: s } for s in ['s-1-1', 's-2-1', 's-3-1']];
local cold = all(8, 'kill') + all(9.5, 'restart');
{
  name: 'cold-member',
  about: 'Five routers, three groups of three, 2,000 requests a second from 800 clients, which repeat at once what is refused, three times. ' +
         'At 8 s the primary of each group is killed, and started again at 9.5 s at 0.17 of its capacity, 18 s from all of it. ' +
         'In cold another member follows it; in cold-primary it is given its role back at 9.8 s, and can do all writes again by the stand-ins\' ' +
         'own reckoning 4.7 s later: what it can\'t do before is worth 0.02 of all.',
  seconds: 24,
  settle: 4,
  classes: lab.classes,
  platform: lab.platform(routers=5),
  fleet: lab.fleet,
  routers: lab.routers { count: 5, own: { log: { totals_ms: 1000, trace: 'wrong', trace_per_s: 100 } } },
  loads: [{ name: load, clients: 800, per_s: 2000, address: '127.0.0.65', repeats: 3,
            mix: { 'katalog-lesen': 0.5, 'eigene-lesen': 0.33, ausleihe: 0.17 } }],
  arms: [
    { name: 'calm' },
    { name: 'cold', events: cold },
    { name: 'cold-primary', events: cold + all(9.8, 'promote') },
  ],
  checks: [
    { name: 'worth of what was asked, cold against calm', value: 'cold.clients.worth_share', over: 'calm.clients.worth_share', min: 0.85 },
    { name: 'the same, cold primaries', value: 'cold-primary.clients.worth_share', over: 'calm.clients.worth_share', min: 0.9 },
  ],
}
