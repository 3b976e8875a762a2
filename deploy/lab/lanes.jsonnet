// Regular accounts send 2.5 times their usual requests: with priority classes whose shedding the routers agree on, with
// each router shedding on its own, and without priority classes; with even and skewed load, a router killed, 30% of the
// reports lost, and a network partition.
local lab = import 'common.libsonnet';
local classes = {
  'katalog-lesen': lab.classes['katalog-lesen'] { aim_ms: 500, wait_ms: 2000, work_ms: [40, 60] },
  'eigene-lesen': lab.classes['eigene-lesen'] { aim_ms: 500, wait_ms: 2000, work_ms: [40, 60] },
  ausleihe: lab.classes.ausleihe { aim_ms: 1200, wait_ms: 5000, work_ms: [50, 80] },
};
local mix = { 'katalog-lesen': 0.55, 'eigene-lesen': 0.35, ausleihe: 0.1 };
local lanes = (import '../lanes.libsonnet') + { accounts: { every_s: 0 }, log: { totals_ms: 1000 } };
local none = lanes { contracts+: { lanes:: null, teams: [{ [k]: t[k] for k in std.objectFields(t) if k != 'lane' } for t in super.teams] } };
local together = { period_ms: 200, share: true };
local apart = { period_ms: 200 };
local skew = { surge: [0.6, 0.2, 0.2], regular: [0.6, 0.2, 0.2] };
local link(at, from, to, fault={}) = { at_s: at, do: 'link', from: from, to: to, link: fault };
local load(name, per_s, clients, address, more={}) =
  { name: name, user: name, lane: name, per_s: per_s, clients: clients, address: address, mix: mix, forget: true } + more;
local again = { repeats: 1, elsewhere: true };
local held = ['lanes', 'skewed', 'killed', 'lossy', 'split'];
{
  name: 'lanes',
  about: 'Two groups of three that do about 240 requests a second each; seven routers. Premium asks 60 a second, background 60, ' +
         'regular 220 and from second 2 to 8 of its accounts 550. Refused regular clients try once more, through another router.',
  seconds: 14,
  settle: 4,
  classes: classes,
  platform: lab.platform(classes, routers=7),
  fleet: lab.fleet { groups: 2 },
  routers: lab.routers { count: 7, own: lanes, members: together },
  lanes: ['premium', 'regular', 'background'],
  loads: [
    load('premium', 60, 120, '127.0.0.81'),
    load('regular', 220, 400, '127.0.0.82', again),
    load('surge', 330, 800, '127.0.0.83', again { user: 'regular', lane: 'regular', from_s: 2, to_s: 8 }),
    load('background', 60, 120, '127.0.0.84'),
  ],
  arms: [
    { name: 'none', own: none },
    { name: 'alone', members: apart },
    { name: 'lanes' },
    { name: 'alone-skewed', members: apart, skew: skew },
    { name: 'skewed', skew: skew },
    { name: 'killed', events: [{ at_s: 4, do: 'kill', router: 1 }] },
    { name: 'lossy', events: [link(-3, [], [], { loss: 0.3, jitter_ms: 20 })] },
    { name: 'split', events: [link(4, [0, 1, 2, 3], [4, 5, 6], { cut: true }), link(4, [4, 5, 6], [0, 1, 2, 3], { cut: true }), link(10, [], [])] },
  ],
  checks:
    [{ name: a + ': premium in time', value: a + '.premium.aim_share', min: 0.95 } for a in held] +
    [{ name: a + ': inversions in the first 2 s, of what premium asked then', value: a + '.lanes.inversions_first_share', max: 0.01 } for a in held] +
    [{ name: a + ': inversions after', value: a + '.lanes.inversions_after', max: 0 } for a in held] +
    [{ name: a + ": background's floor, served of asked in the surge", value: a + '.lanes.served_share_background', min: 0.07 } for a in held] +
    [{ name: a + ': nobody is shed any more, s after the surge', value: a + '.lanes.released_s', max: 5 } for a in held] +
    [
      { name: 'worth a second, against each router alone', value: 'lanes.lanes.worth_per_s', over: 'alone.lanes.worth_per_s', min: 1.1 },
      { name: 'skewed: worth a second, against each router alone', value: 'skewed.lanes.worth_per_s', over: 'alone-skewed.lanes.worth_per_s', min: 1.1 },
      { name: 'accounts that one router sheds and another serves, of pairs of answers', value: 'lanes.lanes.torn_share', max: 0.05 },
      { name: 'each router alone: the same (it can fail)', value: 'alone.lanes.torn_share', min: 0.1 },
      { name: 'served to accounts that were served whole in the surge, against each router alone', value: 'lanes.lanes.visits_whole_share', over: 'alone.lanes.visits_whole_share', min: 1.1 },
      { name: 'attempts while another was open', value: 'lanes.servers.doubled', max: 0 },
    ],
}
