/**
 * Messages between two daemons.
 *
 * Each envelope is sent as one frame: its length as a four-byte unsigned integer in network byte
 * order, then the envelope in thrift's binary protocol. A connection carries envelopes in one
 * direction only, from the daemon that opened it; replies are sent on the connection that the
 * other daemon opened. Envelopes may be lost, and a broken connection is never resumed.
 *
 * Times are Unix seconds. Writers set every field, and readers reject an envelope with a missing
 * field. A released struct never changes: a message with other fields becomes a new member of the
 * union, which older daemons ignore. Generate the code with
 * `thrift --gen py:slots -out marigoldwalk/wire/gen marigoldwalk/wire/marigoldwalk.thrift`.
 */

/** Why a shard is missing from a reply; has the same names as `errors.Missing`. */
enum MissingReason {
  NO_REPLICA = 1
  NO_HOME = 2
  DEADLINE = 3
  LATE = 4
  OVERLOADED = 5
  SNAPSHOT_GONE = 6
  SERVER_ERROR = 7
  SUSPECT_CONTENT = 8
  OUTCOME_UNKNOWN = 9
  VIEW_DOUBTFUL = 10
}

/** A witness's answer to a claim. */
enum ClaimAnswer {
  PROMISED = 1
  HELD_BY_OTHER = 2
  FINISHED = 3
  ABSTAINED = 4
}

/** One result; `body` is JSON text. */
struct Hit {
  1: required string key
  2: required double score
  3: required string body
}

/** The shards of one snapshot that a block can serve, out of `shard_count`. */
struct Holding {
  1: required i64 snapshot
  2: required i32 shard_count
  3: required list<i32> shards
}

/** A shard without a result. */
struct MissingShard {
  1: required i32 shard
  2: required MissingReason reason
}

/** A periodic message by which a daemon shows that it is alive. */
struct Heartbeat {
  1: required i64 sequence
  2: required double started_at
  3: required i64 revision
  4: required string digest
  5: required i64 list_version
  6: required double confirmed_age_s
  7: required bool leaving
  8: required i64 reply_to
}

/** The current serving state of a block, sent by its home to all daemons. */
struct BlockStatus {
  1: required string block
  2: required i64 sequence
  3: required double sent_at
  4: required list<Holding> holdings
  5: required list<double> waits_s
  6: required list<string> warm
}

/** A request to a home to run a query on some shards of its block. */
struct BlockRequest {
  1: required i64 task
  2: required string block
  3: required string group
  4: required string index
  5: required i64 snapshot
  6: required list<i32> shards
  7: required string body
  8: required string fingerprint
  9: required string request_id
  10: required i32 priority
  11: required string merge
  12: required i32 limit
  13: required double answer_by
  14: required double deadline
  15: required double min_coverage
  16: required bool canary
}

/** The merged result of a home for one block request. */
struct BlockReply {
  1: required i64 task
  2: required string block
  3: required i64 snapshot
  4: required list<i32> shards
  5: required list<Hit> hits
  6: required list<MissingShard> missing
  7: required bool ran
  8: required double retry_after_s
  9: required i32 attempts
  10: required list<double> waits_s
}

/** A notice that the sender no longer needs the reply to a block request. */
struct BlockCancel {
  1: required i64 task
}

/** A request to a former home to stop sending to the servers of a block. */
struct HandoverRequest {
  1: required string block
  2: required i64 list_version
}

/** A confirmation that the sender has stopped sending to the servers of a block. */
struct HandoverReply {
  1: required string block
  2: required i64 list_version
  3: required double busy_until
}

/** A request to a witness to promise a request id to the sender only. */
struct ClaimRequest {
  1: required string request_id
  2: required i64 claim
  3: required double started_at
  4: required double issued_at
}

/** A witness's answer to a claim request. */
struct ClaimReply {
  1: required string request_id
  2: required i64 claim
  3: required ClaimAnswer answer
  4: required double retry_after_s
}

/** A notice that the holder gives up a claim that it has not used and will not use. */
struct ClaimRelease {
  1: required string request_id
  2: required i64 claim
}

/** A notice that the holder has run the request to completion. */
struct ClaimFinished {
  1: required string request_id
  2: required i64 claim
}

/** A request to a peer for its accepted configuration document. */
struct DocumentPull {
  1: required i64 revision
}

/** An accepted configuration document, as published. */
struct DocumentPush {
  1: required i64 revision
  2: required string text
}

/** Evidence about content that may crash the backend servers of a service. */
struct SuspectNotice {
  1: required string fingerprint
  2: required string service_name
  3: required i32 deaths
  4: required bool cleared
  5: required double until
  6: required string reporter
}

/** Exactly one message. */
union Message {
  1: Heartbeat heartbeat
  2: BlockStatus block_status
  3: BlockRequest block_request
  4: BlockReply block_reply
  5: BlockCancel block_cancel
  6: HandoverRequest handover_request
  7: HandoverReply handover_reply
  8: ClaimRequest claim_request
  9: ClaimReply claim_reply
  10: ClaimRelease claim_release
  11: ClaimFinished claim_finished
  12: DocumentPull document_pull
  13: DocumentPush document_push
  14: SuspectNotice suspect_notice
}

/** A message and the name of the daemon that sent it. */
struct Envelope {
  1: required string sender
  2: required Message message
}
