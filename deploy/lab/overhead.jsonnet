// Latency that a router adds to a direct connection, and the max throughput of one core. Serves as the baseline for
// later changes.
local lab = import 'common.libsonnet';
local classes = { [c]: lab.classes[c] { work_ms: [0, 0] } for c in std.objectFields(lab.classes) };
local reads = { 'katalog-lesen': 1 };
{
  name: 'overhead',
  about: 'Data servers that answer at once. 4 clients directly and through the router, and 64 clients through it.',
  seconds: 5,
  settle: 1,
  classes: classes,
  platform: lab.platform(classes),
  fleet: lab.fleet { groups: 1, members: 3, cores: 64, queue: 256, ship_ms: 0 },
  routers: lab.routers { sockets: 1024 },
  loads: [
    { name: 'direct', clients: 4, address: '127.0.0.41', mix: reads, direct: true },
    { name: 'four', clients: 4, address: '127.0.0.42', mix: reads },
    { name: 'many', clients: 64, address: '127.0.0.43', mix: reads },
  ],
  arms: [
    { name: 'direct', loads: ['direct'] },
    { name: 'four', loads: ['four'] },
    { name: 'many', loads: ['many'] },
    { name: 'totals', loads: ['many'], own: { log: { totals_ms: 1000 } } },
    { name: 'admission', loads: ['four'], own: { admission: { per_address: 100, reserve: [{ name: 'known', users: ['counter'], connections: 100 }] } } },
  ],
  checks: [
    { name: 'added to a direct connection, times p50', value: 'four.four.p50_ms', over: 'direct.direct.p50_ms', max: 12 },
    { name: 'CPU for each request, us', value: 'many.routers.cpu_us_per_request', max: 250 },
    { name: 'admission: p50 against none', value: 'admission.four.p50_ms', over: 'four.four.p50_ms', max: 1.15 },
    { name: 'admission: CPU for each request against none', value: 'admission.routers.cpu_us_per_request', over: 'four.routers.cpu_us_per_request', max: 1.15 },
    { name: 'totals every second: CPU for each request against none', value: 'totals.routers.cpu_us_per_request', over: 'many.routers.cpu_us_per_request', max: 1.1 },
    { name: 'resident at start, MB', value: 'admission.routers.start_mb', max: 20 },
    { name: 'served of 64 clients', value: 'many.many.served_share', min: 1 },
  ],
}
