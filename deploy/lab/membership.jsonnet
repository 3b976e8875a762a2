// Seven routers in one cluster with failing links: the view of each router is compared with the injected faults.
local lab = import 'common.libsonnet';
local all = std.range(0, 6);
local link(at, from, to, fault={}) = { at_s: at, do: 'link', from: from, to: to, link: fault };
local healed(at) = link(at, [], []);
local cut = { cut: true };
local lossy = { loss: 0.3, jitter_ms: 20, double: 0.05, reorder: 0.05 };
local seen = ['calm', 'loss', 'pauses', 'one-sided', 'split', 'restart', 'kills'];
local faults = {
  calm: [],
  loss: [link(1, [], [], lossy), healed(20)],
  // One router is paused for a second, another for five while two restart, and a third runs at a tenth of its speed.
  pauses: [
    { at_s: 2, do: 'pause', router: 1 },
    { at_s: 3, do: 'resume', router: 1 },
    { at_s: 6, do: 'pause', router: 2 },
    { at_s: 6.5, do: 'kill', router: 3 },
    { at_s: 7, do: 'kill', router: 4 },
    { at_s: 9, do: 'start', router: 3 },
    { at_s: 9.5, do: 'start', router: 4 },
    { at_s: 11, do: 'resume', router: 2 },
    { at_s: 13, do: 'throttle', router: 5, times: 0.1 },
    { at_s: 21, do: 'free', router: 5 },
  ],
  // The link from 1 to 3 is cut; then 2 receives nothing; then nobody receives from 4.
  'one-sided': [
    link(1, [1], [3], cut),
    healed(8),
    link(9, [], [2], cut),
    healed(14),
    link(15, [4], [], cut),
    healed(20),
  ],
  split: [
    link(3, [0, 1, 2, 3], [4, 5, 6], cut),
    link(3, [4, 5, 6], [0, 1, 2, 3], cut),
    healed(18),
  ],
  restart: [{ at_s: 3 + i * 0.5, do: 'kill', router: i } for i in [1, 2, 3]] +
           [{ at_s: 4 + i * 0.5, do: 'start', router: i } for i in [1, 2, 3]],
  kills: std.flattenArrays([
    [{ at_s: 1 + 4 * i, do: 'kill', router: i }, { at_s: 4.5 + 4 * i, do: 'start', router: i }]
    for i in std.range(0, 5)
  ]),
};
local load = 'clients';
{
  name: 'membership',
  about: 'Seven routers, asked 100 requests a second, over links of their own. Calm; 30% of all messages lost, some twice and late; ' +
         'pauses beside restarts, and a router at a tenth of its speed; links that work in one direction; a split of 4 to 3 and its ' +
         'end; three of seven restarted; six killed one after the other. Plain SWIM, without the corrections, beside it.',
  seconds: 27,
  settle: 8,
  classes: lab.classes,
  platform: lab.platform(routers=7),
  fleet: lab.fleet,
  routers: lab.routers { count: 7, own: { log: { totals_ms: 1000 } }, members: { period_ms: 200 } },
  loads: [{ name: load, clients: 60, per_s: 100, address: '127.0.0.61', mix: lab.mix }],
  arms: [{ name: 'off', members: null }] +
        [{ name: a, events: faults[a] } for a in seen] +
        [{ name: 'plain-' + a, events: faults[a], members: { period_ms: 200, corrections: false } } for a in ['loss', 'pauses', 'one-sided']],
  checks:
    [{ name: a + ': routers that served called dead', value: a + '.members.false_deaths', max: 0 } for a in seen] +
    [{ name: a + ': incarnations that fell', value: a + '.members.fallen', max: 0 } for a in seen] +
    [{ name: a + ': parts of all, over the whole', value: a + '.members.parts_over', max: 0 } for a in seen] +
    [{ name: a + ': all views right in the end', value: a + '.members.agreed', min: 1 } for a in seen] +
    [{ name: a + ': after the last fault, ms', value: a + '.members.agree_ms', max: 5000 } for a in ['loss', 'one-sided', 'split']] +
    [
      { name: 'calm: parts of all in the end', value: 'calm.members.parts_last', min: 0.99 },
      { name: 'kills: known to all, p99, ms', value: 'kills.members.notice_p99_ms', max: 3000 },
      { name: 'kills: not noticed by somebody', value: 'kills.members.unnoticed', max: 0 },
      { name: 'plain SWIM: routers that served called dead', value: 'plain-one-sided.members.false_deaths', min: 1 },
      { name: 'answered in time, on against off', value: 'calm.clients.aim_share', over: 'off.clients.aim_share', min: 0.98 },
    ],
}
