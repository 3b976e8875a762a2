// Introductory demo: three routers in front of a fleet under load for 20 s; one router is killed.
local lab = import 'common.libsonnet';
{
  name: 'demo',
  about: 'Nine data servers in three groups, three routers, 150 requests a second for 20 s. At 6 s a router is ' +
         'killed; the front notices 2 s later, and at 12 s it is back.',
  seconds: 20,
  settle: 1,
  classes: lab.classes,
  platform: lab.platform(routers=3),
  fleet: lab.fleet,
  routers: lab.routers { count: 3 },
  loads: [{ name: 'members', clients: 80, per_s: 150, address: '127.0.0.11', mix: lab.mix }],
  arms: [
    { name: 'killed', events: [{ at_s: 6, do: 'kill', router: 1 }, { at_s: 12, do: 'start', router: 1 }] },
  ],
  checks: [
    { name: 'answered in time, of what was asked', value: 'killed.members.aim_share', min: 0.9 },
    { name: 'requests without an answer from a live router', value: 'killed.members.late', max: 10 },
    { name: 'attempts while another was open', value: 'killed.servers.doubled', max: 0 },
    { name: 'work for a server 1 s after it drains', value: 'killed.servers.late', max: 0 },
  ],
}
