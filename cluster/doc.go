// Package cluster spreads the pools over the daemons: who is alive, who owns what, and how a request finds the owner.
//
// Each daemon writes a row of its own to the table members every beat, with the pools that it owns and their tokens.
// A daemon whose row stands still for a while is taken for dead; which of the others takes its pools is a pure function of
// the rows (Assign). Taking over is one conditional write of the pool's owner row, which raises the token; it is safe at
// any time, since workers obey the highest token only and the former owner can write nothing more. So suspicion may be quick.
package cluster
