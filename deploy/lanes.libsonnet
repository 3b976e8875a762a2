// Contracts with three priority classes: requests of premium readers within their limits are shed last, by all routers
// alike.
{
  local classes = { [c]: { per_s: 10000, burst: 10000 } for c in ['katalog-lesen', 'eigene-lesen', 'ausleihe'] },
  contracts: {
    lanes: {
      lanes: [
        { name: 'premium', per_s: 5, burst: 10 },
        { name: 'regular', per_s: 5, burst: 10 },
        { name: 'background' },
      ],
      by: 'both',
      least: 0.1,
      epoch_ms: 10000,
    },
    teams: [
      { name: 'premium', worth: 3, users: ['premium'], classes: classes, retry_share: 10, lane: 'premium' },
      { name: 'regular', worth: 1, users: ['regular'], classes: classes, retry_share: 10, lane: 'regular' },
      { name: 'background', worth: 1, users: ['background'], classes: classes, retry_share: 10, lane: 'background' },
    ],
  },
}
