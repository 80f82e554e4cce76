# Messages between agatepick's processes.  Instants are seconds since the epoch
# by the sender's clock; processes are identified by their names in settings.
@0xb7a1c94e0d5f3a26;

struct Envelope {
  union {
    hello @0 :Hello;
    ping @1 :Ping;
    pong @2 :Pong;
    starts @3 :Starts;
    results @4 :Results;
    offer @5 :Offer;
    ask @6 :Ask;
    stopJob @7 :StopJob;
    settle @8 :Settle;
    orphans @9 :Orphans;
    members @10 :Members;
    forward @11 :Forward;
    forwarded @12 :Forwarded;
    grant @13 :Grant;
    intent @14 :Intent;
    intentAck @15 :IntentAck;
    changes @16 :Changes;
    quotaAsk @17 :QuotaAsk;
    quotaGrant @18 :QuotaGrant;
    goodbye @19 :Goodbye;
    changesWanted @20 :ChangesWanted;
    room @22 :Room;
    want @23 :Want;
    startRuns @24 :StartRuns;
    stopRuns @25 :StopRuns;
    runReports @26 :RunReports;
    renewal @27 :Renewal;
    renewed @28 :Renewed;
    cancelJob @29 :CancelJob;
    cancelAnswer @30 :CancelAnswer;
    findJob @31 :FindJob;
    findAnswer @32 :FindAnswer;
    followJob @33 :FollowJob;
    followAnswer @34 :FollowAnswer;
  }
  stamp @21 :UInt64;
}

struct Hello {
  name @0 :Text;
  role @1 :Text;
  incarnation @2 :UInt64;
  zone @3 :Text;
  rack @4 :Text;
  address @5 :Text;
  version @6 :UInt64;
}

struct Ping { sent @0 :Float64; }

struct Pong {
  sent @0 :Float64;
  received @1 :Float64;
  replied @2 :Float64;
}

struct Needs {
  cpu @0 :Float64;
  memoryMb @1 :UInt32;
  accelerators @2 :UInt32;
}

struct StartTask {
  job @0 :Text;
  index @1 :UInt32;
  attempt @2 :UInt32;
  kind @3 :Text;
  team @4 :Text;
  payload @5 :Data;
  needs @6 :Needs;
  deadline @7 :Float64;
}

struct Starts {
  owner @0 :Text;
  ownerIncarnation @1 :UInt64;
  agentIncarnation @2 :UInt64;
  version @3 :UInt64;
  startBefore @4 :Float64;
  waiting @5 :UInt32;
  tasks @6 :List(StartTask);
}

struct TaskReport {
  job @0 :Text;
  index @1 :UInt32;
  attempt @2 :UInt32;
  state @3 :Text;
  body @4 :Data;
  reason @5 :Text;
  seconds @6 :Float64;
  digest @7 :Data;
}

struct Results {
  agentIncarnation @0 :UInt64;
  credits @1 :UInt32;
  reports @2 :List(TaskReport);
}

struct Offer {
  agentIncarnation @0 :UInt64;
  credits @1 :UInt32;
  slots @2 :UInt32;
  kinds @3 :List(Text);
  capacity @4 :Needs;
  leaving @5 :Bool;
}

struct Ask {
  want @0 :UInt32;
}

struct StopJob {
  job @0 :Text;
  action @1 :Text;
}

struct TaskRef {
  job @0 :Text;
  index @1 :UInt32;
  attempt @2 :UInt32;
}

struct Settle {
  agentIncarnation @0 :UInt64;
  tasks @1 :List(TaskRef);
}

struct Orphans {
  owner @0 :Text;
  ownerIncarnation @1 :UInt64;
  reports @2 :List(TaskReport);
  last @3 :Bool;
}

struct Member {
  name @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
  zone @3 :Text;
  listedAt @4 :Float64;
  removedAt @5 :Float64;
  stoppedAt @6 :Float64;
}

struct Members {
  version @0 :UInt64;
  entries @1 :List(Member);
}

struct TaskSpec {
  id @0 :Text;
  kind @1 :Text;
  payload @2 :Data;
  needs @3 :Needs;
  expectedSeconds @4 :Float64;
}

struct JobSpec {
  key @0 :Text;
  team @1 :Text;
  tasks @2 :List(TaskSpec);
  deadline @3 :Float64;
  urgent @4 :Bool;
  zones @5 :List(Text);
  digest @6 :Data;
}

struct Forward {
  request @0 :UInt64;
  action @1 :Text;
  key @2 :Text;
  team @3 :Text;
  jobs @4 :List(JobSpec);
}

struct Forwarded {
  request @0 :UInt64;
  answer @1 :Data;
}

struct Grant {
  version @0 :UInt64;
  sent @1 :Float64;
  uncertain @2 :Data;
}

struct Intent {
  version @0 :UInt64;
  change @1 :Data;
}

struct IntentAck {
  version @0 :UInt64;
  attempt @1 :UInt64;
}

struct Changes {
  since @0 :UInt64;
  rows @1 :List(Data);
}

struct ChangesWanted {
  since @0 :UInt64;
}

struct QuotaAsk {
  team @0 :Text;
  want @1 :UInt32;
  running @2 :UInt32;
  promise @3 :Float64;
  heldUntil @4 :Float64;
}

struct QuotaGrant {
  team @0 :Text;
  amount @1 :UInt32;
  until @2 :Float64;
}

struct Goodbye {
  reason @0 :Text;
}

struct Room {
  agentIncarnation @0 :UInt64;
  open @1 :Bool;
  pool @2 :Text;
  labels @3 :List(Text);
  capacity @4 :Needs;
  free @5 :Needs;
  grant @6 :UInt64;
  taken @7 :UInt64;
  entries @8 :UInt32;
  cost @9 :Float64;
  slowness @10 :Float64 = 1.0;
  born @11 :Int64;
}

struct Want {
  count @0 :UInt32;
  least @1 :Needs;
  slack @2 :Float64;
  total @3 :Needs;
}

struct RunSpec {
  job @0 :Text;
  index @1 :UInt32;
  run @2 :UInt32;
  name @3 :Text;
  needs @4 :Needs;
  expected @5 :Float64;
  crashes @6 :UInt32;
  apart @7 :Bool;
}

struct Payload {
  job @0 :Text;
  data @1 :Data;
}

struct StartRuns {
  number @0 :UInt64;
  grant @1 :UInt64;
  runs @2 :List(RunSpec);
  want @3 :Want;
  payloads @4 :List(Payload);
  born @5 :Int64;
}

struct RunRef {
  job @0 :Text;
  index @1 :UInt32;
  run @2 :UInt32;
}

struct StopRuns {
  runs @0 :List(RunRef);
}

struct RunReport {
  job @0 :Text;
  index @1 :UInt32;
  run @2 :UInt32;
  state @3 :Text;
  reason @4 :Text;
  seconds @5 :Float64;
  beside @6 :UInt32;
  crashes @7 :UInt32;
}

struct RunReports {
  reports @0 :List(RunReport);
  whole @1 :Bool;
}

struct Renewal {
  sent @0 :Float64;
  trip @1 :Float64;
}

struct Renewed {
  sent @0 :Float64;
  agents @1 :UInt32;
}

struct CancelJob {
  number @0 :UInt64;
  job @1 :Text;
  host @2 :Text;
  path @3 :Text;
}

struct CancelAnswer {
  number @0 :UInt64;
  found @1 :Bool;
}

struct FindJob {
  number @0 :UInt64;
  job @1 :Text;
  former @2 :Text;
}

struct FindAnswer {
  number @0 :UInt64;
  job @1 :Text;
  holder @2 :Text;
  here @3 :Bool;
}

struct FollowJob { job @0 :Text; }

struct FollowAnswer {
  job @0 :Text;
  state @1 :Text;
  verdict @2 :Text;
  reason @3 :Text;
  retryAfter @4 :Float64;
}
