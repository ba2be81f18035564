#include "membership/leaseholder.h"

#include "base/failure.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace RadishSwitch
{

LeaseHolder::LeaseHolder(ObjectStore &store, TimerService &timers, std::string key, IncarnationId me,
                         LeaseSettings settings)
    : m_store(store)
    , m_timers(timers)
    , m_key(std::move(key))
    , m_ownIncarnation(std::move(me))
    , m_settings(settings)
    , m_self(std::make_shared<LeaseHolder *>(this))
{
}

LeaseHolder::~LeaseHolder()
{
    *m_self = nullptr;
    m_timers.cancel(m_timer);
}

void LeaseHolder::start()
{
    m_timer = m_timers.every(m_settings.renewInterval, [this] {
        read();
    });
    read();
}

void LeaseHolder::release()
{
    m_timers.cancel(std::exchange(m_timer, 0));
    m_isReleasing = fence().has_value();
    if (m_isReleasing) {
        read();
    }
    m_fence = 0;
}

std::optional<std::uint64_t> LeaseHolder::fence() const
{
    const auto trusted = Duration(
        static_cast<Duration::rep>(static_cast<double>(m_settings.leaseDuration.count()) * m_settings.trustedShare));
    if (m_fence == 0 || m_timers.now() - m_confirmedAt >= trusted) {
        return std::nullopt;
    }
    return m_fence;
}

absl::StatusOr<LeaseHolder::Lease> LeaseHolder::parse(const std::string &value)
{
    const nlohmann::json json = nlohmann::json::parse(value, nullptr, false);
    if (!json.is_object() || !json.contains("holder") || !json.contains("fence") || !json["holder"].is_string()
        || !json["fence"].is_number_unsigned()) {
        return makeFailure(FailureCode::ObjectMalformed,
                           "lease object malformed: fields holder (string) and fence (number) expected");
    }
    const auto renewals = json.find("renewals");
    const bool hasRenewals = renewals != json.end() && renewals->is_number_unsigned();
    return Lease{json["holder"].get<std::string>(), json["fence"].get<std::uint64_t>(),
                 hasRenewals ? renewals->get<std::uint64_t>() : 0};
}

std::string LeaseHolder::serialize(const Lease &lease)
{
    return nlohmann::json{{"holder", lease.holder}, {"fence", lease.fence}, {"renewals", lease.renewals}}.dump();
}

void LeaseHolder::read()
{
    // A store that is slow or unavailable gets one call at a time.
    if (std::exchange(m_isBusy, true)) {
        return;
    }
    m_store.get(m_key, [self = m_self](absl::StatusOr<StoredObject> object) {
        if (*self != nullptr) {
            (*self)->handleRead(object);
        }
    });
}

void LeaseHolder::handleRead(const absl::StatusOr<StoredObject> &object)
{
    m_isBusy = false;
    if (!object.ok()) {
        if (failureCode(object.status()) == FailureCode::ObjectMissing && !m_isReleasing) {
            write(Lease{m_ownIncarnation.value(), 1, 0}, 0);
        }
        return;
    }
    const absl::StatusOr<Lease> lease = parse(object->value);
    if (lease.ok()) {
        handleLease(*object, *lease);
    }
}

void LeaseHolder::handleLease(const StoredObject &object, const Lease &lease)
{
    const bool isMine = lease.holder == m_ownIncarnation.value();
    if (m_isReleasing) {
        if (isMine) {
            write(Lease{"", lease.fence, lease.renewals}, object.version);
        }
        return;
    }
    if (isMine) {
        // The lease is confirmed only by a write that is known to have succeeded. A rival measures the time from the
        // last change of the object: if reading the lease confirmed it, a holder whose writes fail would still act
        // while the rival takes over.
        write(Lease{lease.holder, lease.fence, lease.renewals + 1}, object.version);
        return;
    }
    m_fence = 0;
    if (lease.holder.empty() || isRivalExpired(object.version)) {
        write(Lease{m_ownIncarnation.value(), lease.fence + 1, 0}, object.version);
    }
}

void LeaseHolder::write(Lease lease, std::uint64_t version)
{
    m_isBusy = true;
    const std::string value = serialize(lease);
    m_store.put(
        m_key, value, version,
        [self = m_self, lease = std::move(lease), requestedAt = m_timers.now()](absl::StatusOr<std::uint64_t> written) {
            if (*self != nullptr) {
                (*self)->handleWritten(written, lease, requestedAt);
            }
        });
}

void LeaseHolder::handleWritten(const absl::StatusOr<std::uint64_t> &version, const Lease &lease, Instant requestedAt)
{
    m_isBusy = false;
    if (version.ok() && !m_isReleasing && lease.holder == m_ownIncarnation.value()) {
        m_fence = lease.fence;
        m_confirmedAt = requestedAt;
    }
}

bool LeaseHolder::isRivalExpired(std::uint64_t version)
{
    if (version != m_rivalVersion) {
        m_rivalVersion = version;
        m_rivalVersionSeenAt = m_timers.now();
        return false;
    }
    return m_timers.now() - m_rivalVersionSeenAt >= m_settings.leaseDuration;
}

}
