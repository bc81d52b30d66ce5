// Messages between nodes on the control port. Frames: see frame_codec.h.
// After a change run scripts/generate-messages and commit its output.

namespace cpp heatherdrift.wire

struct InstanceRef {
  1: string id
  2: i64 incarnation
}

// Summary of a node's replica of the stored rows; equal digests mean equal replicas.
struct Digest {
  1: i64 configurationVersion
  2: i64 pages
  3: i64 members
}

// First message on each connection, in both directions.
struct Hello {
  1: InstanceRef sender
  2: i32 protocolVersion
  // Hash of the settings that both sides must share: lease times and drift share.
  3: i64 agreement
}

struct Renewal {
  1: InstanceRef holder
  2: InstanceRef witness
  3: i64 sequence
  4: Digest digest
}

struct Grant {
  1: InstanceRef holder
  2: InstanceRef witness
  3: i64 sequence
  4: Digest digest
}

enum RefusalReason {
  FENCED = 1
  SUPERSEDED = 2
  WRONG_WITNESS = 3
  STALE_CONFIGURATION = 4
}

struct Refusal {
  1: InstanceRef holder
  2: InstanceRef witness
  3: i64 sequence
  4: RefusalReason reason
  5: Digest digest
}

struct PromiseRequest {
  1: InstanceRef holder
  2: InstanceRef witness
}

// The request was meant for another incarnation; `witness` is the process that answers.
struct PromiseRefusal {
  1: InstanceRef holder
  2: InstanceRef witness
}

// Asks a witness how long it has not heard a holder.
struct SilenceInquiry {
  1: InstanceRef holder
  2: InstanceRef witness
}

struct SilenceReport {
  1: InstanceRef holder
  2: InstanceRef witness
  3: i64 silentMicroseconds
}

struct Promise {
  1: InstanceRef holder
  2: InstanceRef witness
  // Time until the witness's last grant has ended, in microseconds; 0 if there is none.
  3: i64 remainingMicroseconds
}

struct RowVersion {
  1: string table
  2: string key
  3: i64 version
}

struct Row {
  1: string table
  2: string key
  3: i64 version
  4: binary value
}

// Rows that the sender has; the receiver pulls the newer ones.
struct Offer {
  1: list<RowVersion> rows
}

// Hashes of the sender's rows of one table, by bucket of the key's hash. The receiver offers the rows of the buckets
// that differ.
struct Compare {
  1: string table
  2: list<i64> bucketHashes
}

struct Pull {
  1: list<RowVersion> rows
}

struct Update {
  1: list<Row> rows
}

// A request fingerprint that was in flight when a backend server crashed.
struct Strike {
  1: i64 id
  2: i64 fingerprint
  3: double weight
  // Time since the crash, in microseconds.
  4: i64 ageMicroseconds
}

struct Strikes {
  1: list<Strike> strikes
}

// Asks the owner of a partition to hand it over.
struct MoveRequest {
  1: string pool
  2: i32 partition
  3: InstanceRef target
}

struct PartitionLoad {
  1: i32 partition
  2: double busySlots
}


// Load of the sender in one pool, for the pool's coordinator.
struct LoadReport {
  1: InstanceRef sender
  2: string pool
  3: double busySlots
  4: list<PartitionLoad> hottest
}

// Answer to a load report: mean load of an instance of the pool.
struct PoolLoad {
  1: string pool
  2: double meanBusySlots
}

union Message {
  1: Hello hello
  2: Renewal renewal
  3: Grant grant
  4: Refusal refusal
  5: PromiseRequest promiseRequest
  6: Promise promise
  7: Offer offer
  8: Compare compare
  9: Pull pull
  10: Update update
  11: Strikes strikes
  12: MoveRequest moveRequest
  13: LoadReport loadReport
  14: PromiseRefusal promiseRefusal
  15: SilenceInquiry silenceInquiry
  16: SilenceReport silenceReport
  // For neighbours that get no renewals.
  17: Digest digest
  18: PoolLoad poolLoad
}
