// What routers on the platform run with: admission, and a line of totals every 10 s.
(import 'admission.jsonnet') + {
  log: { totals_ms: 10000, trace: 'off' },
}
