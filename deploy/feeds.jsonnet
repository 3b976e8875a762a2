// Settings for an installation with change feeds: `lotushook serve --settings feeds.json`. The platform must configure
// "meldungen" as a class of reads that may be retried.
{
  feeds: {
    classes: { meldungen: { kind: 'feed' } },
    most_cursors: 100000,  // about 16 MB
    ring_events: 1024,
    fresh_ms: 250,
    again_ms: 1000,
    catch_up_per_s: 5,
    return_per_s: 500,
    spread_ms: 20000,
  },
}
