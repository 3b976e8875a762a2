// Example for an installation whose routers can reach each other: seven routers, with seeds in three zones. Not for the
// platform, where routers can't communicate.
local at(i) = '10.7.%d.%d:7400' % [i % 3, 10 + i];
local count = 7;
{
  members: {
    cluster: 'oberland',
    routers: { ['n%d' % i]: { listen: at(i) } for i in std.range(0, count - 1) },
    seeds: [at(i) for i in [0, 1, 2]],
    key_file: '/etc/lotushook/members.keys',
    socket: '/run/lotushook/control.sock',
    alone: 0.5,
  },
}
