// Package stoatspill decides which openings go to another data centre while the own one cannot serve them all. The
// package performs no I/O and reads no clock.
//
// Each data centre's room for a service, which is the rate of openings that it can take in addition to those of its
// own callers, follows from its load (RoomOf, RoomsOf). A data centre that spills has no room, so that openings are
// never passed on and two data centres never fill each other.
//
// An engine keeps a Decider for each service and uses it as follows:
//
//   - Every 100 to 250 ms, it calls Update with the load of the own data centre (the shared sum if it is fresh, else
//     its own measurement), the number of entries of the data centre, the rooms of the others and what it sees of
//     the others itself. The result says whether to log an event, and State what to show to operators.
//   - For each opening, after the admission decision at home, it calls Decide and says whether home refuses the
//     opening. If Decide names a data centre, the opening goes to the best upstream there instead; otherwise the
//     decision at home stands. A flow stays where its opening was placed. Where no upstream there takes the opening, it
//     calls Withdraw.
//   - In the load of the home group, an opening counts as arrived and, if admission at home lets it in, as admitted,
//     even if it is then sent elsewhere. In the load of the group that receives it, it counts as well; from this
//     Away tells that a data centre spills.
package stoatspill
