# The protocol between the nodes of one deployment. A connection starts with
# a Hello from each side; every later Frame carries one message.
@0xb1f6a7c95e0d4c21;

using Go = import "/go.capnp";
$Go.package("schema");
$Go.import("github.com/pathtally/pathtally/internal/wire/schema");

struct Frame {
  correlation @0 :UInt64;   # joins a reply to its request; 0 on a one-way message
  reply @1 :Bool;           # true on the answer to a request
  patience @2 :Int64;       # nanoseconds after arrival for which an answer is wanted; 0 for no bound.
                            # A span, since the clocks of nodes disagree
  union {
    none @3 :Void;
    hello @4 :Hello;
    failure @5 :Failure;
    ping @6 :Ping;
    ack @7 :Ack;
    sync @8 :Sync;
    records @9 :Records;
    documentPull @10 :DocumentPull;
    documentReply @11 :DocumentReply;
    loadReport @12 :LoadReport;
    claimRequest @13 :ClaimRequest;
    claimReply @14 :ClaimReply;
    claimSeal @15 :ClaimSeal;
    claimSnapshot @16 :ClaimSnapshot;
    samplePut @17 :SamplePut;
    sampleList @18 :SampleList;
    sampleGet @19 :SampleGet;
    samples @20 :Samples;
    registerPrepare @21 :RegisterPrepare;
    registerAccept @22 :RegisterAccept;
    registerReply @23 :RegisterReply;
    done @24 :Void;
    nodeBeat @25 :NodeBeat;
    jobRead @26 :JobRead;
    jobPage @27 :JobPage;
    jobItem @28 :JobItem;
    jobItemBody @29 :JobItemBody;
    jobEnd @30 :JobEnd;
    jobOffer @31 :JobOffer;
    jobSubmit @32 :JobSubmit;
    watchPoll @33 :WatchPoll;
    watchNews @34 :WatchNews;
    storeCall @35 :StoreCall;
    storeReply @36 :StoreReply;
    jobSubmitted @37 :JobSubmitted;
    usagePush @38 :UsagePush;
    usageTaken @39 :UsageTaken;
    permitAsk @40 :PermitAsk;
    permitGrant @41 :PermitGrant;
    crashReport @42 :CrashReport;
    jobFind @43 :JobFind;
    jobFound @44 :JobFound;
  }
}

struct Hello {
  protocol @0 :UInt16;      # version of this schema's meaning
  node @1 :Text;            # node id of the sender
  address @2 :Text;         # peer address at which the sender listens
  incarnation @3 :UInt64;   # Unix time in milliseconds at which the sender started
}

struct Failure {
  code @0 :UInt16;          # a wire.FailureCode
  detail @1 :Text;
}

struct Member {
  id @0 :Text;
  address @1 :Text;         # peer protocol, IP and port
  http @2 :Text;            # callers' HTTP, IP and port
  zone @3 :Text;
  region @4 :Text;
  incarnation @5 :UInt64;   # greater wins: the process started later
  sequence @6 :UInt64;      # within an incarnation; raised by the member itself
  state @7 :UInt8;          # 0 alive, 1 suspect, 2 leaving, 3 dead; greater wins within a sequence
  storage @8 :Bool;         # has a data folder
  identity @9 :UInt64;      # of the memory behind its quorum seat: the data folder's, else the incarnation
}

struct LeaseNote {
  name @0 :Text;
  holder @1 :Text;          # node id
  token @2 :UInt64;         # fencing token; greater wins
}

struct DocumentVersion {
  name @0 :Text;
  version @1 :UInt64;
}

struct Records {
  members @0 :List(Member);
  leases @1 :List(LeaseNote);
}

struct Ping {
  target @0 :Text;          # empty: the receiver itself; else probe this address for the sender
  summary @1 :UInt64;       # hash over all records that the sender holds
  records @2 :Records;
  documents @3 :List(DocumentVersion);
}

struct Ack {
  summary @0 :UInt64;
  records @1 :Records;
  documents @2 :List(DocumentVersion);
}

struct RecordVersion {
  key @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;      # sequence * 4 + state for members, token for leases
}

struct Sync {
  versions @0 :List(RecordVersion);
}

struct DocumentPull {
  name @0 :Text;
  have @1 :UInt64;          # version that the asker holds; 0 for none
}

struct Entry {
  key @0 :Text;
  data @1 :Data;
}

struct DocumentReply {
  name @0 :Text;
  version @1 :UInt64;
  base @2 :UInt64;          # 0: upserts are the whole; else changes since this version
  upserts @3 :List(Entry);
  removed @4 :List(Text);
  digest @5 :UInt64;        # hash over the whole document at this version
}

struct EngineLoad {
  engine @0 :Text;
  running @1 :UInt32;
  waiting @2 :UInt32;
  version @3 :Int64;        # active weight version
  staged @4 :Int64;         # staged weight version, 0 for none
  flags @5 :UInt8;          # bit 0 healthy, bit 1 draining
}

struct LoadReport {
  loads @0 :List(EngineLoad);
}

struct ClaimRequest {
  epoch @0 :UInt64;         # of the claim view
  key @1 :Text;             # idempotency key with its traffic group
  attempt @2 :Text;         # names the one dispatch that may run
  fingerprint @3 :UInt64;   # hash of the request's body
  operation @4 :UInt8;      # a wire.ClaimOperation
  outcome @5 :UInt8;        # with complete: a wire.Outcome
  answer @6 :Data;          # with complete
}

struct ClaimReply {
  status @0 :UInt8;         # a wire.ClaimStatus
  attempt @1 :Text;         # the attempt that holds the claim
  fingerprint @2 :UInt64;
  outcome @3 :UInt8;
  answer @4 :Data;
  epoch @5 :UInt64;         # the view that the member serves
}

struct ClaimRecord {
  key @0 :Text;
  attempt @1 :Text;
  fingerprint @2 :UInt64;
  outcome @3 :UInt8;
  answer @4 :Data;
  created @5 :Int64;        # Unix time in milliseconds
  withdrawn @6 :List(Text); # attempts that may never be granted
  rivals @7 :List(Text);    # further attempts that copies of the record hold
}

struct RegisterRecord {
  register @0 :Text;
  promised @1 :UInt64;
  acceptedBallot @2 :UInt64;
  value @3 :Data;
  created @4 :Int64;        # Unix time in milliseconds
}

struct ClaimSeal {
  epoch @0 :UInt64;         # serve no view older than this any more
  after @1 :Text;           # return claim records with greater keys; empty for the first page
}

struct ClaimSnapshot {
  epoch @0 :UInt64;         # the view that the member has served; 0 for none
  records @1 :List(ClaimRecord);
  registers @2 :List(RegisterRecord); # on the first page only
  more @3 :Bool;            # ask again after the last record's key
}

struct SamplePut {
  trainer @0 :Text;
  step @1 :UInt64;
  slot @2 :UInt32;
  digest @3 :UInt64;
  data @4 :Data;            # the sample as a JSON line
  token @5 :UInt64;         # fencing token of the scheduler
}

struct SampleList {
  trainer @0 :Text;
  step @1 :UInt64;
}

struct SampleReference {
  slot @0 :UInt32;
  digest @1 :UInt64;
}

struct SampleGet {
  trainer @0 :Text;
  step @1 :UInt64;
  references @2 :List(SampleReference);
}

struct Sample {
  slot @0 :UInt32;
  digest @1 :UInt64;
  data @2 :Data;
}

struct Samples {
  samples @0 :List(Sample);
}

struct RegisterPrepare {
  register @0 :Text;
  ballot @1 :UInt64;        # fencing token of the proposer
  epoch @2 :UInt64;         # of the quorum view
}

struct RegisterAccept {
  register @0 :Text;
  ballot @1 :UInt64;
  value @2 :Data;
  epoch @3 :UInt64;         # of the quorum view
}

struct RegisterReply {
  granted @0 :Bool;
  promised @1 :UInt64;
  acceptedBallot @2 :UInt64; # 0: nothing accepted
  value @3 :Data;
}

# The messages between nodes that keep their lasting state in a metadata store.

struct ReplicaUse {
  replica @0 :Text;         # id of an incarnation
  running @1 :UInt32;       # rollouts that the sender runs there
  intervalUs @2 :UInt32;    # time between events of a run there, in microseconds, 0 if unknown
  usualIntervalUs @3 :UInt32; # the same over a longer period, without short disturbances; 0 if unknown
  expectedEvents @4 :UInt32; # events that the texts of these rollouts are expected to have in all
}

struct ReplicaVersion {
  replica @0 :Text;
  model @1 :Text;
  version @2 :Int64;        # weight version it has, or is being brought to
  loading @3 :Bool;         # an order is under way
}

struct PeerAddress {
  node @0 :Text;
  address @1 :Text;
  zone @2 :Text;
  capacity @3 :UInt32;      # thousandths of a core that the node has, 0 for unknown
  incarnation @4 :UInt64;   # of the node's process, 0 for unknown
}

struct NodeBeat {
  node @0 :Text;
  address @1 :Text;
  zone @2 :Text;
  incarnation @3 :UInt64;
  jobs @4 :List(Text);      # open batch jobs that the sender runs
  uses @5 :List(ReplicaUse);
  versions @6 :List(ReplicaVersion);
  lease @7 :UInt64;         # revision of the duty lease where the sender holds it, else 0
  peers @8 :List(PeerAddress);
  leaving @9 :Bool;         # the sender stops soon and gives its jobs away
  ended @10 :List(Text);    # batch jobs that callers have ended
  tolerances @11 :List(ModelTolerance);
  leaseHolder @12 :Text;    # who held the duty lease at the newest revision that the sender has seen
  leaseSeen @13 :UInt64;    # that revision, 0 for none
  lengths @14 :List(ItemLength);  # of items that an ended job left without a whole group
  work @15 :List(JobWork);  # of the batch jobs in jobs
  leaseReleased @16 :Bool;  # its holder gave the lease up at revision leaseSeen
  capacity @18 :UInt32;     # thousandths of a core that the sender has, 0 for unknown
  usageDone @17 :Int64;     # number of the newest window up to which all usage has been reported
  peersKnown @19 :Bool;     # the sender has read the list of nodes, of which peers holds those of the receiver's zone at least
}

struct JobWork {
  job @0 :Text;
  model @1 :Text;
  expectedTokens @2 :UInt64; # that all items of the job are expected to make, listed ones included
  tenant @3 :Text;          # whose job it is, empty where no tenants are declared
  epoch @4 :UInt32;         # counts the job's owners, the sender included; 0 for unknown
  open @5 :UInt32;          # items that have no result yet
  routes @6 :List(Text);    # whose requests the job holds: its own first, then its scorers'
  entry @7 :Text;           # region through which the job came, empty for unknown
  items @8 :UInt32;         # items of the job, listed ones included; 0 for unknown
  step @9 :Int64;           # number of the trainer's step
  leftMs @10 :Int64;        # time until the job is due, negative once it is late; 0 if it is never due
  lagMs @11 :UInt32;        # how far the job's trainer is behind its period
  waiting @12 :UInt32;      # items that wait for a replica
  critical @13 :Bool;       # whether the job is in time depends on which replicas run its items
}

# Asks one of the nodes that are told of a batch job who runs it.
struct JobFind {
  job @0 :Text;
}

struct JobFound {
  known @0 :Bool;
  owner @1 :PeerAddress;    # the node that runs it, and the process there
  epoch @2 :UInt32;         # counts the job's owners; 0 for unknown
  ended @3 :Bool;
  tenant @4 :Text;          # whose job it is, if tenantKnown
  tenantKnown @5 :Bool;
}

struct ItemLength {
  item @0 :Text;
  events @1 :UInt32;        # how many its text has at the least
  whole @2 :Bool;           # exactly that many
}

struct ModelTolerance {
  model @0 :Text;
  versions @1 :Int64;       # how far behind the newest weights batch jobs let them be
}

struct JobRead {
  job @0 :Text;
  after @1 :UInt32;         # results known to the reader
  waitMs @2 :UInt32;
}

struct JobPage {
  known @0 :Bool;           # false: the receiver does not run the job
  total @1 :UInt32;
  results @2 :Data;         # JSON, as in package batch
}

struct JobItem {
  job @0 :Text;
  item @1 :Text;
}

struct JobItemBody {
  known @0 :Bool;           # false: the receiver does not run the job
  found @1 :Bool;
  body @2 :Data;
}

struct JobEnd {
  job @0 :Text;
}

struct JobOffer {
  job @0 :Text;             # a batch job that the sender has been asked to accept
}

struct JobSubmit {
  job @0 :Text;
  route @1 :Text;
  host @2 :Text;
  payload @3 :Data;         # the submission as its caller sent it
  tenant @4 :Text;          # whose job it is, empty where no tenants are declared
  entry @5 :Text;           # region of the node that the caller connected to
}

struct JobSubmitted {
  outcome @0 :UInt8;        # done: accepted; not run: nothing of it will run; unknown
  detail @1 :Text;
}

# The messages by which a node follows one that reads the metadata store.

struct KindRevision {
  kind @0 :Text;
  revision @1 :UInt64;      # up to which the asker has the kind, 0 for nothing
}

struct WatchPoll {
  kinds @0 :List(KindRevision);
  waitMs @1 :UInt32;        # for how long the answer may be held until there is news
  direct @2 :Bool;          # only a node that the store itself answers may call itself current
  relay @3 :Bool;           # the sender takes the receiver for one that follows another node: it need not read the store
  compressed @4 :Bool;      # the sender can read compressed listings
}

struct ObjectChange {
  name @0 :Text;
  gone @1 :Bool;
  deleting @2 :Bool;
  revision @3 :UInt64;
  spec @4 :Data;
  status @5 :Data;
}

struct KindNews {
  kind @0 :Text;
  revision @1 :UInt64;      # up to which the news reach
  whole @2 :Bool;           # the changes are a whole listing, not what came since
  afterOutage @3 :Bool;     # entries may have vanished because of the store
  changes @4 :List(ObjectChange);
  compressed @5 :Data;      # the changes as a compressed Listing, in their place, to senders of polls that can read it
}

# The objects of a compressed listing, or compressed changes.
struct Listing {
  objects @0 :List(ObjectChange);
}

struct WatchNews {
  standing @0 :UInt8;       # a wire.Standing
  kinds @1 :List(KindNews); # those with news
  through @2 :Text;         # address of the node that the store answers, where it is not the sender
  ageMs @3 :UInt32;         # since a reader of the store said that the copies are current, 0 where the sender is one
}

# A call to the metadata store that a node makes for one that the store does
# not answer.

struct StoreCall {
  verb @0 :UInt8;           # a wire.StoreVerb
  kind @1 :Text;
  name @2 :Text;            # of the object, or after which a listing goes on
  revision @3 :UInt64;      # condition of a write, 0 for none
  content @4 :Data;         # spec or status to write
  mayBeStale @5 :Bool;
}

struct StoreReply {
  outcome @0 :UInt8;        # a wire.StoreOutcome
  status @1 :Int32;         # HTTP status of a refusal
  more @2 :Bool;            # the listing goes on
  at @3 :UInt64;            # revision of the listing
  objects @4 :List(ObjectChange);
}

# The messages by which the node that reports usage learns what others have
# counted.

struct TenantCount {
  tenant @0 :Text;
  count @1 :UInt64;
}

struct UsageWindow {
  number @0 :Int64;         # spans of the window's length since the start of 1970
  counts @1 :List(TenantCount); # what this process of the sender has counted, in all
}

struct UsagePush {
  node @0 :Text;
  incarnation @1 :UInt64;
  unixMs @2 :Int64;         # what the sender takes for the time
  windows @3 :List(UsageWindow);
}

struct UsageTaken {
  unixMs @0 :Int64;         # what the receiver takes for the time
}

# The messages by which nodes share out what a replica that warms up may get.

struct ReplicaCount {
  replica @0 :Text;
  count @1 :UInt32;         # requests
}

struct PermitAsk {
  node @0 :Text;
  incarnation @1 :UInt64;
  wanted @2 :List(ReplicaCount);
}

struct PermitGrant {
  granted @0 :List(ReplicaCount);
  spanMs @1 :UInt32;        # for how long after it sent its question the asker may use them
}

# The message by which nodes count together the replicas that end under a request.

struct ReplicaEnd {
  replica @0 :Text;         # id of the incarnation that has ended
  agoMs @1 :UInt32;         # how long before the message, since the clocks of nodes disagree
}

struct CrashReport {
  fingerprint @0 :Data;     # of the request, as in package quarantine
  ends @1 :List(ReplicaEnd); # all that the sender knows of
  served @2 :Bool;          # a replica has answered the request whole: nothing counts any more
}
