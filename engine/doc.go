// Package engine makes the scheduling decisions for one pool of instances: which task starts on which worker, how the
// end of a run affects its task, which runs are stopped, and when a job has ended. It is a pure state machine: it does
// no I/O, reads no clock and starts no goroutine. Its caller feeds it events with their time and executes the orders it
// returns.
//
//	pool := engine.NewPool("pumps", token, engine.DefaultOptions(), clock.Now)
//	pool.SetQueues(queues)
//	pool.SetRoster(workers, clock)
//	job := pool.Submit(spec, clock)
//	for {
//		batch := pool.NextBatch(engine.Primary, entries, maxBytes) // write it to the store, then
//		pool.Committed(batch, clock)               // its effects may now leave the process
//		pool.Place(clock)
//		for _, order := range pool.TakeOrders() { ... } // send, then pool.StartAnswered(...)
//	}
//
// Every run is recorded with its worker before its start order may be sent, and every end is stored before its worker
// may discard it. A successor that loads the records therefore knows every worker on which a task may run.
package engine
