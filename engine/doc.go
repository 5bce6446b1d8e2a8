// Package engine decides for one pool of instances: which task starts on which worker, what an end means, what is
// stopped and when a job has ended. It is pure state: it does no I/O, reads no clock and starts no goroutine. Its
// caller feeds events with the time and carries out what it returns.
//
//	pool := engine.NewPool("pumps", token, engine.DefaultOptions())
//	pool.SetQueues(queues)
//	pool.SetRoster(workers, clock)
//	job := pool.Submit(spec, clock)
//	for {
//		batch := pool.NextBatch(limit)    // write it to the store, then
//		pool.Committed(batch, clock)      // its effects may leave the process
//		pool.Place(clock)
//		for _, order := range pool.TakeOrders() { ... } // send, then pool.StartAnswered(...)
//	}
//
// Every run is written down with its worker before its start order may be sent, and every end before the worker
// is told to forget it. A successor that loads the records therefore knows each place where a task may be.
package engine
