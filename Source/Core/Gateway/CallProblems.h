#pragma once

#include "Decisions/Decisions.h"
#include "Entry/Entry.h"
#include "Ledger/Ledger.h"
#include "Peers/Peers.h"

namespace LaburnumChute::Gateway {

/// The problem document for a rejection by the scheduler.
Entry::Problem rejectionProblem(const Decisions::Reject &rejection);

/// The problem document for a rejection by the ledger.
Entry::Problem ledgerProblem(const Ledger::Rejected &rejection);

/// The problem document for a request that was sent and not answered.
Entry::Problem unknownOutcomeProblem(std::string detail);

/// The problem document for a failure reported by another instance.
Entry::Problem problemOf(const Peers::AnswerFailure &failure);

} // namespace LaburnumChute::Gateway
