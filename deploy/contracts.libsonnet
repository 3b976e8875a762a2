// Contracts of the two teams that share Oberland's routers, for a fleet with the given number of groups.
function(groups=3) {
  contracts: {
    // Each router gets 15 to 45% of a team's traffic.
    skew: 0.45,
    utc_offset_min: 60,
    fleet: { groups: groups, primary_per_s: 28, primary_use: 0.78, cost: { ausleihe: 1 } },
    teams: [
      {
        name: 'lending',
        worth: 1,
        users: ['lending'],
        classes: {
          'katalog-lesen': { per_s: 20 * groups, burst: 20 * groups },
          'eigene-lesen': { per_s: 20 * groups, burst: 20 * groups },
          ausleihe: { per_s: 12 * groups, burst: 12 * groups },
        },
        primary_share: 0.43,
        retry_share: 0.2,
      },
      {
        name: 'counters',
        worth: 3,
        users: ['counter'],
        applications: ['counter-desk'],
        classes: {
          'katalog-lesen': { per_s: 10 * groups, burst: 10 * groups },
          'eigene-lesen': { per_s: 10 * groups, burst: 10 * groups },
          ausleihe: { per_s: 9.8 * groups, burst: 9.8 * groups },
        },
        primary_share: 0.35,
        retry_share: 0.2,
      },
    ],
  },
}
