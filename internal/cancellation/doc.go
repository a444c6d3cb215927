// Package cancellation keeps what one controller knows of cancelled jobs, and until
// when it knows of all of them. Two things rest on it: a user is told of a cancellation
// only once most controllers hold it in memory, and a worker's lease is prolonged only
// by one that knows all cancellations told long enough ago. So those of which users
// were told are known for as long as tasks of theirs can run, also where the state
// service serves nobody and the controller that told has ended.
//
// The argument, with n controllers of which a majority is m: a cancellation told at c
// was held by m processes shortly before c. Whoever has heard m processes that all
// began before then, each at s or later, has heard one that held it, for every c up to
// s. What was told before is known by induction, from a read of the records or from a
// controller that knew.
package cancellation
