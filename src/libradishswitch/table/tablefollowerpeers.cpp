#include "table/tablefollower_p.h"

#include "base/failure.h"

#include <iterator>
#include <limits>

// The follower's exchange with peers: whoever tells of a newer revision is asked for it.

namespace RadishSwitch
{

void TableFollower::Private::peerHasRevision(std::uint64_t revision, const std::string &peer)
{
    const std::lock_guard lock(m_mutex);
    m_askStoreAfter = m_timers.now() + m_settings.peerSilence;
    if (revision <= m_held->document.revision) {
        m_newerPeers.erase(peer);
        return;
    }
    m_newerPeers[peer] = revision;
    if (m_isRunning && !m_isPulling) {
        pullNext();
    }
}

void TableFollower::Private::pullNext()
{
    std::erase_if(m_newerPeers, [this](const auto &it) {
        return it.second <= m_held->document.revision;
    });
    if (m_newerPeers.empty()) {
        return;
    }
    auto it = m_newerPeers.begin();
    std::advance(it, m_random.below(m_newerPeers.size()));
    const std::string peer = it->first;
    m_isPulling = true;
    const std::uint64_t pull = ++m_pull;
    // A peer can hold the connection and say nothing; another one may have the table too.
    m_pullTimer = m_timers.after(m_settings.pullDeadline, [self = weak_from_this(), pull, peer] {
        if (const auto d = self.lock()) {
            d->onPulled(pull, peer, makeFailure(FailureCode::ConnectionSilent, peer));
        }
    });
    m_peers.pullTable(peer, m_needsWhole ? 0 : m_held->document.revision,
                      [self = weak_from_this(), pull, peer](absl::StatusOr<std::string> bytes) {
                          if (const auto d = self.lock()) {
                              d->onPulled(pull, peer, bytes);
                          }
                      });
}

void TableFollower::Private::onPulled(std::uint64_t pull, const std::string &peer,
                                      const absl::StatusOr<std::string> &bytes)
{
    if (bytes.ok() && !bytes->empty()) {
        const absl::Status status = offer(std::numeric_limits<std::uint64_t>::max(), *bytes);
        const std::lock_guard lock(m_mutex);
        m_needsWhole = m_needsWhole && !status.ok();
    }
    const std::lock_guard lock(m_mutex);
    if (pull == m_pull) {
        endPull(peer);
    }
}

/// The peer is asked again when its next heartbeat tells of a newer revision.
void TableFollower::Private::endPull(const std::string &peer)
{
    m_timers.cancel(m_pullTimer);
    ++m_pull;
    m_isPulling = false;
    m_newerPeers.erase(peer);
    if (m_isRunning) {
        pullNext();
    }
}

}
