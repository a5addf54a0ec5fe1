// Command harness3 plays the cases of the third review. It starts daemons of the project as
// separate processes on loopback addresses, with stand-ins for the platform's store, the engines
// and the clients, and writes what was sent, answered and run to a record.
package main
