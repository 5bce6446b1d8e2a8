// Package cluster distributes the pools over the daemons: it tracks which daemons are alive and which pools they own, and routes
// each request to the owner of its pool.
//
// Each daemon periodically writes a heartbeat row to the table members, with the pools that it owns and their fencing tokens.
// A daemon whose row has no new heartbeat for some time is considered dead; which of the others claims its pools is a pure
// function of the rows (Assign). A claim is one conditional write of the pool's owner row, which increments the token. It is safe at
// any time, because workers obey only the highest token and the former owner can write nothing more. Failure detection may
// therefore be quick and tolerate false positives.
package cluster
