"""The serving path on sockets. It carries out decisions; the decision module makes them."""
