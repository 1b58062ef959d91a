/**
 * Datagrams between gateway daemons.
 *
 * Each datagram holds one Gossip in thrift's binary protocol. Datagrams may be lost, doubled and
 * late. Generate with
 * `thrift --gen py:slots -out marigoldwalk/wire/gen marigoldwalk/wire/gossip.thrift`.
 */

/** One daemon, as its sender believes. */
struct Member {
  1: required string name
  2: required string host
  3: required i32 port
  /** Start of the daemon's process in Unix milliseconds. */
  4: required i64 incarnation
  /** Counts up for as long as the daemon lives. */
  5: required i64 heartbeat
  6: required string domain
  /** Processor time that the daemon may use, in cores. */
  7: required double cores
  8: required bool leaving
}

/** A request content after which servers have crashed. */
struct Evidence {
  1: required string fingerprint
  2: required list<string> servers
}

struct Gossip {
  /** The sender is the first member. */
  1: required list<Member> members
  2: required list<Evidence> evidence
}
