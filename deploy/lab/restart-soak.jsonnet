// Routers restart, reload and get SIGTERM in every order, while clients send requests until the end, data servers hang,
// drain, reset and start late, and discovery stops answering. The seed determines all faults and the settings.
local lab = import 'common.libsonnet';
local ms = 1000000;
local withClasses(change) = { [n]: lab.classes[n] + change(lab.classes[n]) for n in std.objectFields(lab.classes) };
local profile(name, classes, limits={}) = {
  name: name,
  classes: classes,
  platform: lab.platform(classes=classes, routers=3) + {
    limits+: { idleClose: 4000 * ms } + limits,
    rules+: { drainGrace: 1000 * ms, rampTime: 6000 * ms },
  },
};
{
  name: 'restart-soak',
  about: 'Two or three routers that restart over and over; see docs/design/soak.md.',
  seconds: 9,
  fleet: lab.fleet { members: 4, cores: 2, ramp_s: 6 },
  routers: lab.routers { count: 3 },
  soak: {
    seconds: 9,
    clients: 24,
    profiles: [
      profile('operators', lab.classes),
      profile('short deadlines', withClasses(function(c) c { wait_ms: if c.read == 'write' then 400 else 150, aim_ms: 100 })),
      profile('no Retry-After', withClasses(function(c) c { wait_ms: 3000, aim_ms: 600, work_ms: if c.read == 'write' then [20, 1800] else [7, 60] }),
              { retryAfter: false }),
    ],
  },
}
