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

/** A request of a workspace that a daemon reports to a holder of the quota, or asks to admit. */
struct QuotaAsk {
  /** Identifies the answer. */
  1: required i64 number
  2: required string workspace
  /** The version of the configuration that states the quota below. */
  3: required i64 version
  4: required double rate_per_s
  5: required double burst
  /** Number of requests; -1 takes back one that did not run, and 0 only asks. */
  6: required i32 count
  /** Whether the request has been admitted already. */
  7: required bool admitted
  /** Whether a leaving holder has referred the sender to this one. */
  8: required bool referred
}

struct QuotaAnswer {
  1: required i64 number
  2: required bool granted
  /** Time in milliseconds until the quota has room for a request. */
  3: required i32 room_ms
  /** Time in milliseconds after which the caller should try again. */
  4: required i32 retry_ms
  /** Whether the quota is nearly used up, so that requests are admitted only after asking. */
  5: required bool scarce
  /** Whether the daemon is leaving, or has just started, and the next one should be asked. */
  6: required bool leaving
  /** Whether other daemons hold the quota, as far as the sender knows. */
  7: required bool elsewhere
}

/** The part of a datagram that concerns the quotas of workspaces. */
struct Quota {
  /** The sender's name. */
  1: required string sender
  2: optional QuotaAsk ask
  3: optional QuotaAnswer answer
  /** A workspace whose quota is nearly used up. */
  4: optional string scarce
}

struct Gossip {
  /** The sender is the first member; the list is empty in datagrams about quotas. */
  1: required list<Member> members
  2: required list<Evidence> evidence
  3: optional Quota quota
}
