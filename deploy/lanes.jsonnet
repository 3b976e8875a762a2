// Example for an installation whose routers can reach each other: priority classes, with shedding thresholds that the
// routers agree on. Not for the platform, where routers can't communicate.
local members = (import 'members.jsonnet').members;
(import 'lanes.libsonnet') + { members: members { share: true }, accounts: { every_s: 60 } }
