// A flood of connections from two addresses against a router with few descriptors, with and without admission, compared
// with a run without the flood.
local lab = import 'common.libsonnet';
local good = { clients: 10, mix: lab.mix, pause_ms: 0 };
{
  name: 'admission-flood',
  about: 'One router of 128 descriptors before a primary and a replica. 20 good clients, of which half connect anew ' +
         'for each request, and from two other addresses 600 connections at a time that say nothing or half a ' +
         'startup message; each comes back 50 to 150 ms after its end.',
  seconds: 8,
  settle: 1,
  classes: lab.classes,
  platform: lab.platform(),
  fleet: lab.fleet { groups: 1, members: 2, cores: 8 },
  routers: lab.routers { sockets: 128 },
  loads: [
    good { name: 'staying', address: '127.0.0.21' },
    good { name: 'fresh', address: '127.0.0.22', fresh: 1 },
  ],
  floods: [
    { name: 'mute', connections: 300, address: '127.0.1.31', says: 'nothing', pause_ms: 100 },
    { name: 'half', connections: 300, address: '127.0.2.32', says: 'half', pause_ms: 100 },
  ],
  local own = { admission: {
    per_address: 24,
    per_prefix: 24,
    new_per_s: 800,
    shared: ['127.0.0.21/32', '127.0.0.22/32'],
    come_back_ms: 500,
    silence_ms: 60,
  } },
  arms: [
    { name: 'calm', own: own },
    { name: 'without', floods: ['mute', 'half'] },
    { name: 'admission', own: own, floods: ['mute', 'half'] },
    // The system grants fewer descriptors than the router's configuration says: they run out with requests in flight.
    { name: 'short', own: own, floods: ['mute', 'half'], descriptors: 60 },
  ],
  checks: [
    { name: 'good clients that stay: served, against calm', value: 'admission.staying.served_per_s', over: 'calm.staying.served_per_s', min: 0.95 },
    { name: 'good clients that connect anew: served, against calm', value: 'admission.fresh.served_per_s', over: 'calm.fresh.served_per_s', min: 0.95 },
    { name: 'good clients: answered in time', value: 'admission.fresh.aim_share', min: 0.99 },
    { name: 'good clients: lost', value: 'admission.staying.lost', max: 0 },
    { name: 'good clients that connect anew: lost', value: 'admission.fresh.lost', max: 0 },
    { name: 'mute flood: heard why', value: 'admission.mute.told_share', min: 0.9 },
    { name: 'half-startup flood: heard why', value: 'admission.half.told_share', min: 0.9 },
    { name: 'mute flood: wait for it, p99 ms', value: 'admission.mute.p99_ms', max: 100 },
    { name: 'half-startup flood: wait for it, p99 ms', value: 'admission.half.p99_ms', max: 100 },
    { name: 'attempts while another was open', value: 'admission.servers.doubled', max: 0 },
    { name: 'out of descriptors, staying: lost', value: 'short.staying.lost', max: 0 },
    { name: 'out of descriptors, staying: without an answer', value: 'short.staying.late', max: 0 },
    { name: 'out of descriptors, anew: lost', value: 'short.fresh.lost', max: 0 },
    { name: 'out of descriptors, staying: served, against calm', value: 'short.staying.served_per_s', over: 'calm.staying.served_per_s', min: 0.8 },
    { name: 'out of descriptors, mute flood: heard why', value: 'short.mute.told_share', min: 0.9 },
    { name: 'out of descriptors: attempts while another was open', value: 'short.servers.doubled', max: 0 },
  ],
}
