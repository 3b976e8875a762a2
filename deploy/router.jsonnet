// Settings of the routers on the platform: admission, and a log line of totals every 10 s.
(import 'admission.jsonnet') + {
  log: { totals_ms: 10000, trace: 'off' },
}
