package limit

// Demand is the use and the waiting work of a backer at one owner of pools.
type Demand struct {
	// Owner is the id of the entry, Backer the name of the backer.
	Owner  string
	Backer string
	// InUse is the number of slots in use, Demand adds the requests that wait.
	InUse  int
	Demand int
	// Heartbeat is the owner's heartbeat when the figures were taken.
	Heartbeat int64
}
