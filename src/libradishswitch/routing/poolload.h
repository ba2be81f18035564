#pragma once

namespace RadishSwitch
{

/// What a pool's endpoints have in common, learnt from their reports and from this process's own runs.
struct PoolLoad {
    /// Mean of the reported runs over capacity.
    double utilisation = 0;
    /// Mean of the reported runs, and of those of them that are this process's.
    double runs = 0;
    double ownRuns = 0;
    /// How long a run takes, its time in the endpoint's queue included.
    double runSeconds = 2;

    /// The part of the pool's work that this process sends, from 0 to 1.
    double ownShare() const
    {
        return runs > 0 ? (ownRuns < runs ? ownRuns / runs : 1) : 1;
    }
};

}
