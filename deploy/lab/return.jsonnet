// Routers that restart: five of seven and all seven killed at once, and an overload that immediate client retries
// sustain, each with and without recovery.
local lab = import 'common.libsonnet';
local budgets = { dials_per_s: 1000, probes_per_s: 300, lists_per_s: 20, sends_per_s: 2500 };
local own = { log: { totals_ms: 1000 } };
local on = own { recovery: { [k]: budgets[k] for k in std.objectFields(budgets) } };
local down(which) = [{ at_s: 3, do: 'kill', router: i } for i in which] + [{ at_s: 4, do: 'start', router: i } for i in which];
local all = std.range(0, 6);
local faults = {
  five: down(all[:5]),
  all: down(all),
  // All requests take 2.5 times as long for three seconds.
  trigger: [{ at_s: 3, do: 'burden', server: '*', times: 2.5 }, { at_s: 6, do: 'burden', server: '*', times: 1 }],
};
local arms = std.objectFields(faults);
// The trigger causes no metastable overload in the current code: without recovery the overload ends at once too. Not
// covered yet, for the state persisted on disk: all routers killed with wiped disks, and with an old state restored.
{
  name: 'return',
  about: 'Seven routers, 2,000 requests a second, clients that are refused ask again at once, three times. Calm; five of seven killed and ' +
         'back after a second; all of them; all work 2.5 times as long for three seconds. The same without recovery.',
  seconds: 13,
  settle: 4,
  classes: lab.classes,
  platform: lab.platform(routers=7),
  fleet: lab.fleet,
  routers: lab.routers { count: 7, own: on, members: { period_ms: 200, share: true }, notice_ms: 500 },
  loads: [{ name: 'clients', clients: 700, per_s: 2000, address: '127.0.0.64', mix: lab.mix, repeats: 3 }],
  arms: [{ name: 'calm' }] + [{ name: a, events: faults[a] } for a in arms] + [{ name: a + '-off', events: faults[a], own: own } for a in arms],
  checks: [
            { name: 'calm: answered in time', value: 'calm.clients.aim_share', min: 0.95 },
          ] +
          [{ name: a + ': time to full service, s', value: a + '.clients.full_service_s', max: 5 } for a in arms] +
          [{ name: a + ': attempts for each request', value: a + '.servers.attempts_per_request', max: 1.2 } for a in arms] +
          [{ name: a + ': session reads that miss their own write', value: a + '.servers.stale_reads', max: 0 } for a in arms] +
          std.flattenArrays([[
            { name: a + ': dials in the worst second, of all routers', value: a + '.servers.worst_dials_per_s', max: 1.2 * budgets.dials_per_s },
            { name: a + ': probes', value: a + '.servers.worst_probes_per_s', max: 1.2 * budgets.probes_per_s },
            { name: a + ': calls for the whole list', value: a + '.servers.worst_lists_per_s', max: 1.2 * budgets.lists_per_s },
            { name: a + ': sends in the first second', value: a + '.servers.first_sends_per_s', max: 1.2 * budgets.sends_per_s },
          ] for a in ['five', 'all']]),
}
