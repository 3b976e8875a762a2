// CPU cost of membership on a router with almost no other work; the rest of its CPU time serves requests. At 700
// requests per second the CPU time of equal runs varies by three quarters, which hides the cost.
local lab = import 'common.libsonnet';
local classes = { [c]: lab.classes[c] { work_ms: [0, 0] } for c in std.objectFields(lab.classes) };
{
  name: 'membership-cost',
  about: 'Seven routers, 7 requests a second, data servers that answer at once; two turns of off and on.',
  seconds: 15,
  settle: 6,
  classes: classes,
  platform: lab.platform(classes, routers=7),
  fleet: lab.fleet { groups: 1, members: 3, cores: 64, queue: 256, ship_ms: 0 },
  routers: lab.routers { count: 7, members: { period_ms: 200 } },
  loads: [{ name: 'clients', clients: 60, per_s: 7, address: '127.0.0.62', mix: { 'katalog-lesen': 1 } }],
  arms: std.flattenArrays([[{ name: 'off%d' % i, members: null }, { name: 'on%d' % i }] for i in std.range(1, 2)]),
  checks: [
    { name: 'cores that seven routers take, on, turn %d' % i, value: 'on%d.routers.cpu_share' % i, max: 0.09 }
    for i in std.range(1, 2)
  ] + [
    { name: 'messages a router and second', value: 'on1.members.sent_per_s', max: 15 },
    { name: 'resident at start, MB, on', value: 'on1.routers.start_mb', max: 14 },
  ],
}
