// Shared by the experiments: a small deployment modelled on Oberland's, with work, latency objectives and deadlines
// scaled to one machine.
{
  local ms = 1000000,
  // The classes as clients and data servers use them.
  classes: {
    'katalog-lesen': { read: 'bounded', bound_ms: 300, aim_ms: 250, wait_ms: 1000, worth: 3, work_ms: [7, 12] },
    'eigene-lesen': { read: 'session', aim_ms: 250, wait_ms: 1000, worth: 1, work_ms: [7, 12] },
    ausleihe: { read: 'write', aim_ms: 1200, wait_ms: 3000, worth: 6, work_ms: [10, 18] },
  },
  // The same classes in the configuration that the platform gives to a router.
  platform(classes=$.classes, routers=1):: {
    local names = ['katalog-lesen', 'eigene-lesen', 'ausleihe'],
    balancers: routers,
    granularity: 5 * ms,
    discovery: 'automatic',
    me: 0,
    classes: [
      {
        local c = classes[n],
        name: n,
        objective: c.aim_ms * ms,
        deadline: c.wait_ms * ms,
        window: 5000 * ms,
        gain: c.worth,
        lateWorth: if c.read == 'write' then 0.7 else 0,
        effect: if c.read == 'write' then 'guarded' else 'free',
        keyScope: if c.read == 'write' then 'cell' else 'all',
      }
      for n in names
    ],
    customers: [],
    domain: {
      answersStamped: true,
      behind: 'bounce',
      classRead: [{ bounded: 'lag_bound', session: 'causal', write: 'mutate' }[classes[n].read] for n in names],
      lagAllowed: [if 'bound_ms' in classes[n] then classes[n].bound_ms * ms else 0 for n in names],
      sessionMarks: 'brought',
      showsRole: 'none',
      zero: 0,
    },
    limits: {
      cancel: true,
      connectTimeout: 250 * ms,
      idleClose: 30000 * ms,
      maxAttempts: 8,
      maxRetryAfter: 1000 * ms,
      mostHeld: 2000,
      probing: true,
      retryAfter: true,
    },
    penalties: { lateFail: 0.042 },
    report: { fields: ['x0', 'x1', 'inflight'], how: 'probe' },
    rules: { answerSlack: 20 * ms, coldShare: 0.17, fallMultiple: 3, overloadFor: 1500 * ms, rampTime: 18000 * ms },
  },
  fleet: {
    groups: 3,
    members: 3,
    cores: 4,
    queue: 32,
    ship_ms: 5,
    apply_ms: 1,
    cold_share: 0.17,
    ramp_s: 18,
    takeover_ms: 1500,
    halls: ['halle-a', 'halle-b', 'halle-c'],
  },
  routers: { count: 1, cores: 1, memory_mb: 48, sockets: 512, notice_ms: 2000 },
  mix: { 'katalog-lesen': 0.51, 'eigene-lesen': 0.32, ausleihe: 0.17 },
}
