// Example of an installation's settings with contracts. The routers on the platform do not use it.
(import 'contracts.libsonnet')(3) + { accounts: { every_s: 60 } }
