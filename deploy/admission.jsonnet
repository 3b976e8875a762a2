// Admission for routers behind a proxy, where the address does not identify a client: no limits per address, but
// tighter limits under pressure, and an error with a retry delay for rejected clients.
{
  admission: {
    shared: ['0.0.0.0/0', '::/0'],
  },
}
