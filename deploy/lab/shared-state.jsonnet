// Sessions that roam: each request goes to another router, and no client sends its last commit. With and without the
// routers propagating commits.
local lab = import 'common.libsonnet';
local on = { period_ms: 200, share: true };
local lossy = { loss: 0.3, jitter_ms: 20 };
{
  name: 'shared-state',
  about: 'Five routers, replicas that have a write 10 ms after its answer or later, ten clients that connect anew for each request: six session reads to three writes. ' +
         'Nothing shared; commits shared as they are seen; the same over links that lose 30%; the same with a router killed and back.',
  seconds: 15,
  settle: 8,
  classes: lab.classes,
  platform: lab.platform(routers=5),
  fleet: lab.fleet { ship_ms: 20, apply_ms: 10 },
  routers: lab.routers { count: 5, members: on, notice_ms: 500 },
  loads: [{ name: 'roaming', clients: 10, pause_ms: 2, fresh: 1, forget: true, address: '127.0.0.63',
            mix: { 'eigene-lesen': 0.6, ausleihe: 0.3, 'katalog-lesen': 0.1 } }],
  arms: [
    { name: 'off', members: { period_ms: 200 } },
    { name: 'async' },
    { name: 'one', members: on { modes: { default: 'async', classes: { ausleihe: 'one' }, wait_ms: 100 } } },
    { name: 'loss', events: [{ at_s: 1, do: 'link', link: lossy }] },
    { name: 'killed', events: [{ at_s: 5, do: 'kill', router: 2 }, { at_s: 8, do: 'start', router: 2 }] },
  ],
  checks: [
    { name: 'off: session reads that miss their own write', value: 'off.servers.stale_reads', min: 20 },
    { name: 'async: session reads that miss their own write, of those of off', value: 'async.servers.stale_reads', over: 'off.servers.stale_reads', max: 0.5 },
    { name: 'one: the same', value: 'one.servers.stale_reads', over: 'off.servers.stale_reads', max: 0.3 },
    { name: 'one: answers that went out without a word', value: 'one.members.waits_over', max: 5 },
    { name: '30% lost: the same', value: 'loss.servers.stale_reads', over: 'off.servers.stale_reads', max: 1.2 },
    { name: 'killed and back: the same', value: 'killed.servers.stale_reads', over: 'off.servers.stale_reads', max: 0.6 },
    { name: 'answered in time, async against off', value: 'async.roaming.aim_share', over: 'off.roaming.aim_share', min: 0.97 },
    { name: 'CPU for each request, async against off', value: 'async.routers.cpu_us_per_request', over: 'off.routers.cpu_us_per_request', max: 1.3 },
  ],
}
