#pragma once

namespace RadishSwitch
{

/// Moving averages over the endpoints of a pool, from their reports and from the runs of this process.
struct PoolLoad {
    /// Mean of an endpoint's reported runs divided by its capacity.
    double utilisation = 0;
    /// Mean number of an endpoint's reported runs, and the mean number of those that this process sent.
    double runs = 0;
    double ownRuns = 0;
    /// Mean duration of a run in seconds, including its time in the endpoint's queue.
    double runSeconds = 2;

    /// The share of the pool's runs that this process sends, from 0 to 1.
    double ownShare() const
    {
        return runs > 0 ? (ownRuns < runs ? ownRuns / runs : 1) : 1;
    }
};

}
