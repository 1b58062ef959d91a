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
  /** Whether the daemon reaches no backend server. */
  9: optional bool isolated = false
  /** Whether the platform's store has not answered the daemon of late. */
  11: optional bool turned_away = false
}

/** A server that crashed while it executed a request content. */
struct Crash {
  /** The server's incarnation. */
  1: required string server
  2: required string service_name
  /** The send after which it crashed. */
  3: required string occasion
  /** Time since the crash in milliseconds. */
  4: required i32 age_ms
  /** Whether the content was sent to this server alone. */
  5: required bool trial
}

/** Request content after which servers crashed. */
struct Evidence {
  1: required string fingerprint
  /** The servers of all crashes, for daemons that do not know the fields below. */
  2: required list<string> servers
  3: optional list<Crash> crashes
  /** Whether a server has executed the content without a crash. */
  4: optional bool harmless
}

struct Gossip {
  /** The sender is the first member. */
  1: required list<Member> members
  2: required list<Evidence> evidence
}
