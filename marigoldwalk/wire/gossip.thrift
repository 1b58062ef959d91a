/**
 * Datagrams between gateway daemons.
 *
 * Each datagram contains one Gossip struct in thrift's binary protocol. Datagrams may be lost,
 * duplicated or delayed. Generate the code with
 * `thrift --gen py:slots -out marigoldwalk/wire/gen marigoldwalk/wire/gossip.thrift`.
 */

/** The state of a daemon, as known to the sender. */
struct Member {
  1: required string name
  2: required string host
  3: required i32 port
  /** Start time of the daemon's process in Unix milliseconds. */
  4: required i64 incarnation
  /** A counter that the daemon increments while it is alive. */
  5: required i64 heartbeat
  6: required string domain
  /** CPU time available to the daemon, in cores. */
  7: required double cores
  8: required bool leaving
}

/** Request content after which servers crashed. */
struct Evidence {
  1: required string fingerprint
  2: required list<string> servers
}

struct Gossip {
  /** The sender is the first member. */
  1: required list<Member> members
  2: required list<Evidence> evidence
}
