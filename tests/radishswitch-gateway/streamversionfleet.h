#pragma once

#include "seededrandom.h"
#include "serving/callgate.h"
#include "serving/objectfollower.h"
#include "serving/streamorigins.h"
#include "simulatedstore.h"
#include "versionreports.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// A fleet in virtual time: gateways with the classes that decide at which version streams begin and continue, homes
/// that keep records and report the starts of endpoints, the store, and the network between them. Endpoints start,
/// write their entries, and end.
class StreamVersionFleet
{
public:
    using Duration = RadishSwitch::Duration;
    using Instant = RadishSwitch::Instant;
    using SoftwareVersion = RadishSwitch::SoftwareVersion;

    struct Tally {
        /// New streams at gateways that were in touch.
        int begun = 0;
        int notBegun = 0;
        /// Streams taken up at gateways that were in touch, after those that began them were lost.
        int continued = 0;
        int refused = 0;
        /// Streams of two versions, of all that were taken up at any gateway.
        int mixed = 0;
    };

    StreamVersionFleet(std::uint64_t seed, int gateways, int homes)
        : random(seed)
    {
        for (int n = 0; n < gateways; ++n) {
            names.push_back("gateway-" + std::to_string(n));
            m_peers[names.back()] = {names.back(), 1, "a", RadishSwitch::PeerKind::Gateway};
        }
        for (int n = 0; n < homes; ++n) {
            homeNames.push_back("home-" + std::to_string(n));
            m_peers[homeNames.back()] = {homeNames.back(), 1, "a", RadishSwitch::PeerKind::Home};
            startHome(homeNames.back());
        }
    }

    void startHome(const std::string &name)
    {
        m_homes.erase(name);
        m_homes.emplace(name, std::make_unique<Home>(clock));
        m_disturbedAt[name] = clock.now();
    }

    void startGateway(const std::string &name, bool isFirstStart)
    {
        m_gateways.erase(name);
        m_gateways.emplace(name, std::make_unique<Gateway>(*this, name, isFirstStart));
        m_gateways.at(name)->start();
        m_disturbedAt[name] = clock.now();
    }

    void kill(const std::string &name)
    {
        m_gateways.erase(name);
        m_homes.erase(name);
        m_disturbedAt[name] = clock.now();
    }

    void freeze(const std::string &name)
    {
        if (SimulatedProcess *process = processOf(name)) {
            process->freeze();
        }
    }

    void wake(const std::string &name)
    {
        m_disturbedAt[name] = clock.now();
        if (SimulatedProcess *process = processOf(name)) {
            process->wake();
        }
    }

    /// Cuts these processes off from all others and from the store; none for an end of the cut.
    void cutOff(const std::set<std::string> &processes)
    {
        for (const std::string &name : m_cutOff) {
            m_disturbedAt[name] = clock.now();
        }
        m_cutOff = processes;
    }

    void setStoreDown(bool isDown)
    {
        store.isDown = isDown;
        m_storeDisturbedAt = clock.now();
    }

    /// Starts an endpoint, or lists one again that was unlisted. Its entry is written at once.
    void list(const std::string &endpoint, const std::string &version)
    {
        const auto [it, isNew] = m_endpoints.try_emplace(endpoint);
        const std::int64_t start = isNew ? ++m_starts : it->second.start;
        it->second = {version, start, true, true};
        writeEntry(endpoint, start);
    }

    /// Removes an endpoint from the list. It goes on serving those who have not heard of it.
    void unlist(const std::string &endpoint)
    {
        m_endpoints[endpoint].isListed = false;
        store.erase(kEntryPrefix + endpoint);
    }

    /// Ends an endpoint, and starts it again under its id after `away`. Its entry changes `entryDelay` later, and not
    /// before the store is up.
    void restart(const std::string &endpoint, const std::string &version, Duration away, Duration entryDelay)
    {
        const auto it = m_endpoints.find(endpoint);
        if (it == m_endpoints.end() || !it->second.isUp || !it->second.isListed) {
            return;
        }
        it->second.isUp = false;
        breakStreams(endpoint);
        clock.after(away, [this, endpoint, version, entryDelay] {
            const bool isListed = m_endpoints.at(endpoint).isListed;
            m_endpoints.at(endpoint) = {version, ++m_starts, true, isListed};
            clock.after(entryDelay, [this, endpoint, start = m_starts] {
                writeEntry(endpoint, start);
            });
        });
    }

    /// Lets homes report the starts of all endpoints to the gateways from now on.
    void reportStarts()
    {
        clock.every(kReportInterval, [this] {
            clock.after(kReportDelay, [this, endpoints = m_endpoints] {
                for (const auto &[name, gateway] : m_gateways) {
                    deliverStarts(name, *gateway, endpoints);
                }
            });
        });
    }

    std::vector<std::string> endpointNames() const
    {
        std::vector<std::string> found;
        for (const auto &[name, endpoint] : m_endpoints) {
            found.push_back(name);
        }
        return found;
    }

    /// A caller sends a new stream to a gateway, and takes it up at another one later, after it has had events.
    void beginStream(const std::string &gateway, const std::string &next, Duration after)
    {
        Gateway *it = awake(gateway);
        if (!it) {
            return;
        }
        const bool isCounted = isInTouch(gateway);
        BegunStream stream;
        stream.call = RadishSwitch::RequestId("call-" + std::to_string(m_calls++));
        stream.gateway = gateway;
        stream.process = it->process;
        it->begin(stream.call, [this, stream, next, after, isCounted](const std::optional<Target> &begunAt) {
            if (isCounted) {
                ++(begunAt ? tally.begun : tally.notBegun);
            }
            if (begunAt) {
                clock.after(after, [this, stream, next, begunAt = *begunAt] {
                    takeUp(next, stream, begunAt);
                });
            }
        });
    }

    VirtualTimerService clock;
    SeededRandom random;
    SimulatedStore store;
    Tally tally;
    std::vector<std::string> names;
    std::vector<std::string> homeNames;

private:
    static inline const RadishSwitch::PoolId kPool{"llm"};
    static inline const RadishSwitch::OrganisationId kOrganisation{"magnolia"};
    /// From an endpoint's choice to its first event.
    static constexpr Duration kFirstEvent = std::chrono::milliseconds(150);
    static constexpr Duration kLatency = std::chrono::milliseconds(1);
    /// After an end of trouble, until a process counts as in touch again.
    static constexpr Duration kStable = std::chrono::seconds(3);

    static constexpr char kEntryPrefix[] = "servers/";
    /// Time between two reports of homes about the starts of endpoints, and their age when gateways read them.
    static constexpr Duration kReportInterval = std::chrono::milliseconds(500);
    static constexpr Duration kReportDelay = std::chrono::milliseconds(700);
    /// After the end of a connection, until it is known whether the endpoint refuses others.
    static constexpr Duration kProbe = std::chrono::milliseconds(20);
    /// An endpoint with an unwritten entry tries again.
    static constexpr Duration kHeartbeat = std::chrono::milliseconds(1200);
    /// Time between two events of a stream.
    static constexpr Duration kEventInterval = std::chrono::milliseconds(100);
    /// Endpoints that a call is sent to at most.
    static constexpr int kAttempts = 2;

    struct Endpoint {
        std::string version;
        std::int64_t start = 0;
        bool isUp = false;
        bool isListed = false;
    };

    /// An incarnation of an endpoint that a call was sent to: as the gateway knows it, and as it is.
    struct Target {
        std::string endpoint;
        std::int64_t listedStart = 0;
        SoftwareVersion listedVersion;
        std::int64_t start = 0;
        SoftwareVersion version;
    };

    using TargetCallback = std::function<void(const std::optional<Target> &)>;

    struct BegunStream {
        RadishSwitch::RequestId call;
        std::string gateway;
        std::weak_ptr<SimulatedProcess> process;
    };

    struct Home {
        explicit Home(VirtualTimerService &clock)
            : process(std::make_shared<SimulatedProcess>(clock))
            , table(clock.now())
        {
        }

        std::shared_ptr<SimulatedProcess> process;
        RadishSwitch::StreamOriginTable table;
    };

    class Gateway : private RadishSwitch::ObjectListener, private RadishSwitch::StreamOriginPort
    {
    public:
        Gateway(StreamVersionFleet &fleet, std::string name, bool isFirstStart)
            : process(std::make_shared<SimulatedProcess>(fleet.clock))
            , m_fleet(fleet)
            , m_name(std::move(name))
            , m_random(fleet.random.below(1'000'000))
            , m_store(fleet.store, *process,
                      [this] {
                          return m_fleet.m_cutOff.contains(m_name);
                      })
            , m_directory(m_name)
            , m_loads(m_registry)
            , m_allowances(m_name)
            , m_admission(m_registry, m_allowances)
            , m_versionReports(m_store, *process, m_random, m_versions, inputs(isFirstStart))
            , m_reports(m_store, *process, m_random, "news/", m_versionReports, reportSettings(isFirstStart))
            , m_endpoints(m_store, *process, m_random, kEntryPrefix, *this)
            , m_origins(m_directory, *this, m_versions, *process, [this] {
                const Instant at = m_reports.confirmedAt();
                return at == Instant::min() ? Duration::max() : process->now() - at;
            })
        {
            m_directory.setPeers(fleet.m_peers);
            m_loads.setStartCallback([this](RadishSwitch::EndpointSlot slot, std::int64_t start, Instant measuredAt) {
                if (m_registry.noteStart(slot, start, measuredAt, process->now())) {
                    scheduleEvents();
                }
            });
        }

        void start()
        {
            m_versions.awaitAnnouncements();
            m_versions.setSeveralCallback([this](const RadishSwitch::PoolId &pool) {
                process->after(Duration::zero(), [this, pool] {
                    m_origins.publish(pool);
                    m_versionReports.announce();
                });
            });
            m_reports.start();
            m_endpoints.start();
            process->every(std::chrono::seconds(1), [this] {
                noteListed();
                m_registry.forgetGone(process->now());
                m_versionReports.removeExpired();
            });
        }

        /// Calls back with the writer of the stream's first event, unless the gateway ends before.
        void begin(const RadishSwitch::RequestId &call, const TargetCallback &callback, int attempts = kAttempts)
        {
            const std::optional<Target> target = chooseFirst();
            if (!target || !m_origins.mustRegister(kPool, target->listedVersion)) {
                return bringFirstEvent(call, target, callback, attempts);
            }
            m_origins.registerStream(
                call, kOrganisation, kPool, [this, call, target, callback, attempts](const absl::Status &registered) {
                    const auto established = m_versions.established(kPool);
                    const auto instead = established ? chooseOf(call, *established, {}) : std::nullopt;
                    bringFirstEvent(call, registered.ok() ? target : instead, callback, attempts);
                });
        }

        /// Calls back with the writer of the event with which the stream continues here.
        void takeUp(const RadishSwitch::RequestId &call, const TargetCallback &callback)
        {
            m_origins.find({call, kOrganisation, {kPool}},
                           [this, call, callback](const absl::StatusOr<RadishSwitch::FoundStreamOrigin> &found) {
                               const SoftwareVersion version = found.ok() ? found->origin.version : SoftwareVersion();
                               continueAt(call, version, {}, callback);
                           });
        }

        /// The connections to an endpoint end.
        void handleBroken(const std::string &endpoint)
        {
            const auto runs = std::ranges::count_if(m_streams, [&](const auto &entry) {
                return entry.second.endpoint == endpoint;
            });
            for (const auto &[call, stream] : std::exchange(m_streams, {})) {
                if (stream.endpoint != endpoint) {
                    m_streams.emplace(call, stream);
                    continue;
                }
                const auto origin = m_origins.table().find(call);
                const SoftwareVersion version = origin ? origin->version : SoftwareVersion();
                continueAt(call, version, {endpoint}, [this, begunAt = stream](const std::optional<Target> &target) {
                    m_fleet.tally.mixed += target && target->version != begunAt.version ? 1 : 0;
                });
                probe(stream, runs > 1);
            }
        }

        void takeStart(const std::string &endpoint, std::int64_t start)
        {
            RadishSwitch::EndpointLoadReport report;
            report.address = endpoint;
            report.startedAtMilliseconds = start;
            report.age = kReportDelay;
            // Fails for endpoints that are not listed here.
            (void)m_loads.takeIn(report, process->now());
        }

        RadishSwitch::StreamOrigins &origins()
        {
            return m_origins;
        }

        const std::shared_ptr<SimulatedProcess> process;

    private:
        static RadishSwitch::ObjectFollowerSettings reportSettings(bool isFirstStart)
        {
            RadishSwitch::ObjectFollowerSettings settings;
            settings.isFirstListRelaxed = isFirstStart;
            return settings;
        }

        RadishSwitch::VersionReports::Inputs inputs(bool isFirstStart)
        {
            RadishSwitch::VersionReports::Inputs inputs;
            inputs.isFirstStart = isFirstStart;
            inputs.isResumable = [](const RadishSwitch::PoolId &) {
                return true;
            };
            inputs.confirmedAt = [this] {
                return m_reports.confirmedAt();
            };
            inputs.previouslyConfirmedAt = [this] {
                return m_reports.previouslyConfirmedAt();
            };
            return inputs;
        }

        std::optional<Target> targetOf(const std::string &key) const
        {
            const std::string endpoint = endpointOf(key);
            const auto slot = m_registry.slotOf(RadishSwitch::EndpointId(endpoint));
            if (!slot) {
                return std::nullopt;
            }
            const RadishSwitch::EndpointListing &listing = m_registry.at(*slot).listing;
            const Endpoint &it = m_fleet.m_endpoints.at(endpoint);
            return Target{endpoint, listing.startedAtMilliseconds, listing.softwareVersion, it.start,
                          SoftwareVersion(it.version)};
        }

        bool isOpen(const std::string &endpoint, const RadishSwitch::PlacementQuery &query) const
        {
            const auto slot = m_registry.slotOf(RadishSwitch::EndpointId(endpoint));
            return slot && m_admission.isOpen(*slot, query, process->now());
        }

        bool isCurrent(const Target &target) const
        {
            return m_registry.currentSlotOf(incarnationOf(target)).has_value();
        }

        static RadishSwitch::EndpointIncarnation incarnationOf(const Target &target)
        {
            return {RadishSwitch::EndpointId(target.endpoint), target.listedStart};
        }

        std::optional<Target> chooseFirst()
        {
            RadishSwitch::PlacementQuery query;
            query.beginsStream = true;
            std::vector<Target> open;
            for (const auto &[key, version] : m_listed) {
                const std::optional<Target> target = targetOf(key);
                if (target && isOpen(target->endpoint, query) && m_versions.mayBegin(kPool, version, process->now())) {
                    open.push_back(*target);
                }
            }
            return open.empty() ? std::nullopt : std::optional(open[m_random.below(open.size())]);
        }

        std::optional<Target> chooseOf(const RadishSwitch::RequestId &call, const SoftwareVersion &version,
                                       const std::set<std::string> &tried) const
        {
            RadishSwitch::PlacementQuery query;
            query.requiredVersion = version;
            std::vector<Target> open;
            for (const auto &[key, listed] : m_listed) {
                const std::optional<Target> target = targetOf(key);
                if (target && isOpen(target->endpoint, query) && !tried.contains(target->endpoint)) {
                    open.push_back(*target);
                }
            }
            const std::size_t n = std::hash<std::string>()(call.value());
            return open.empty() ? std::nullopt : std::optional(open[n % open.size()]);
        }

        void bringFirstEvent(const RadishSwitch::RequestId &call, const std::optional<Target> &target,
                             const TargetCallback &callback, int attempts)
        {
            if (!target || attempts == 0) {
                return callback(std::nullopt);
            }
            if (!m_fleet.isServing(*target)) {
                noteRefused(*target);
                return begin(call, callback, attempts - 1);
            }
            process->after(kFirstEvent, [this, call, target, callback, attempts] {
                if (!m_fleet.isServing(*target)) {
                    probe(*target);
                    return begin(call, callback, attempts - 1);
                }
                const SoftwareVersion origin = isCurrent(*target) ? target->listedVersion : SoftwareVersion();
                m_origins.note({call, {kOrganisation, kPool, origin}});
                m_streams.emplace(call, *target);
                callback(target);
            });
        }

        void continueAt(const RadishSwitch::RequestId &call, const SoftwareVersion &version,
                        std::set<std::string> tried, const TargetCallback &callback)
        {
            const std::optional<Target> target = chooseOf(call, version, tried);
            if (!target || tried.size() > kAttempts) {
                return callback(std::nullopt);
            }
            tried.insert(target->endpoint);
            if (!m_fleet.isServing(*target)) {
                noteRefused(*target);
                return continueAt(call, version, std::move(tried), callback);
            }
            process->after(kFirstEvent, [this, call, version, tried = std::move(tried), target, callback] {
                if (!m_fleet.isServing(*target)) {
                    probe(*target);
                    return continueAt(call, version, tried, callback);
                }
                askStart(*target);
                isCurrent(*target) ? callback(target) : continueAt(call, version, tried, callback);
            });
        }

        /// An endpoint that continues a stream is asked for its start.
        void askStart(const Target &target)
        {
            const auto slot = m_registry.currentSlotOf(incarnationOf(target));
            const Endpoint &it = m_fleet.m_endpoints.at(target.endpoint);
            if (slot && it.isUp && it.start > target.listedStart) {
                const auto next = m_registry.noteEnded(*slot, process->now());
                m_registry.noteStart(next.value_or(*slot), it.start, process->now(), process->now());
                scheduleEvents();
            }
        }

        void noteRefused(const Target &target)
        {
            const auto slot = m_registry.currentSlotOf(incarnationOf(target));
            const bool isRefused = !m_fleet.m_endpoints.at(target.endpoint).isUp;
            if (slot && isRefused && m_registry.noteEnded(*slot, process->now())) {
                scheduleEvents();
            }
        }

        /// An endpoint that takes connections is asked for its start if several runs broke off together.
        void probe(const Target &target, bool asksStart = false)
        {
            process->after(kProbe, [this, target, asksStart] {
                noteRefused(target);
                if (asksStart) {
                    askStart(target);
                }
            });
        }

        /// Streams whose incarnation has ended here, and that still get events, were begun by a later one.
        void scheduleEvents()
        {
            process->after(kEventInterval, [this] {
                for (const auto &[call, stream] : m_streams) {
                    const auto origin = m_origins.table().find(call);
                    const bool isNamed = origin && !origin->version.isEmpty();
                    if (isNamed && !isCurrent(stream) && m_fleet.isServing(stream)) {
                        m_origins.note({call, {kOrganisation, kPool, SoftwareVersion()}});
                    }
                }
            });
        }

        void noteListed()
        {
            for (const auto &[key, version] : m_listed) {
                const auto slot = m_registry.slotOf(RadishSwitch::EndpointId(endpointOf(key)));
                if (slot && !m_registry.at(*slot).isAwaitingEntry) {
                    m_versions.noteListed(kPool, version, process->now());
                }
            }
        }

        static std::string endpointOf(const std::string &key)
        {
            return key.substr(std::char_traits<char>::length(kEntryPrefix));
        }

        /// Reads an entry: a version and a start.
        static RadishSwitch::EndpointListing listingOf(const RadishSwitch::StoredObject &object)
        {
            const std::size_t space = object.value.find(' ');
            RadishSwitch::EndpointListing listing;
            listing.id = RadishSwitch::EndpointId(endpointOf(object.key));
            listing.address = listing.id.value();
            listing.pool = kPool;
            listing.softwareVersion = SoftwareVersion(object.value.substr(0, space));
            listing.startedAtMilliseconds = std::stoll(object.value.substr(space + 1));
            listing.revision = object.version;
            return listing;
        }

        void objectsListed(const std::vector<RadishSwitch::StoredObject> &objects) override
        {
            m_listed.clear();
            std::vector<RadishSwitch::EndpointListing> listings;
            std::ranges::transform(objects, std::back_inserter(listings), listingOf);
            m_registry.replaceAll(listings, process->now());
            objectsChanged(objects);
            if (!std::exchange(m_isListed, true)) {
                m_versions.noteFirstListComplete();
            }
            m_versionReports.establish();
        }

        void objectsChanged(const std::vector<RadishSwitch::StoredObject> &objects) override
        {
            for (const RadishSwitch::StoredObject &object : objects) {
                m_listed.erase(object.key);
                if (object.version == 0) {
                    m_registry.unlist(RadishSwitch::EndpointId(endpointOf(object.key)), process->now());
                    continue;
                }
                const RadishSwitch::EndpointListing listing = listingOf(object);
                m_listed.emplace(object.key, listing.softwareVersion);
                m_registry.list(listing, process->now());
            }
            noteListed();
            scheduleEvents();
        }

        void tell(const std::string &peer, const std::vector<RadishSwitch::StreamOriginRecord> &records) override
        {
            m_fleet.deliver(m_name, peer, [records](RadishSwitch::StreamOriginTable &table, Instant now, Gateway *) {
                for (const RadishSwitch::StreamOriginRecord &record : records) {
                    table.note(record, now);
                }
                return RadishSwitch::StreamOriginAnswer();
            });
        }

        void keep(const std::string &peer, const RadishSwitch::StreamOriginRecord &record, Duration timeout,
                  KeptCallback callback) override
        {
            m_fleet.exchange(
                *this, peer, timeout,
                [record](RadishSwitch::StreamOriginTable &table, Instant now, Gateway *) {
                    table.note(record, now);
                    return RadishSwitch::StreamOriginAnswer();
                },
                [callback = std::move(callback)](const absl::StatusOr<RadishSwitch::StreamOriginAnswer> &answer) {
                    callback(answer.status());
                });
        }

        void ask(const std::string &peer, const RadishSwitch::StreamOriginQuery &query, Duration timeout,
                 Callback callback) override
        {
            m_fleet.exchange(
                *this, peer, timeout,
                [query](RadishSwitch::StreamOriginTable &table, Instant now, Gateway *gateway) {
                    return gateway ? gateway->m_origins.answer(query) : table.answer(query, now);
                },
                std::move(callback));
        }

        friend class StreamVersionFleet;

        StreamVersionFleet &m_fleet;
        const std::string m_name;
        SeededRandom m_random;
        SimulatedStoreLink m_store;
        RadishSwitch::HomeDirectory m_directory;
        RadishSwitch::PoolVersions m_versions;
        RadishSwitch::EndpointRegistry m_registry;
        RadishSwitch::EndpointLoads m_loads;
        RadishSwitch::CallAllowances m_allowances;
        RadishSwitch::EndpointAdmission m_admission;
        RadishSwitch::VersionReports m_versionReports;
        RadishSwitch::ObjectFollower m_reports;
        RadishSwitch::ObjectFollower m_endpoints;
        std::map<std::string, SoftwareVersion> m_listed;
        bool m_isListed = false;
        /// The streams that were begun here, by their calls.
        std::map<RadishSwitch::RequestId, Target> m_streams;
        RadishSwitch::StreamOrigins m_origins;
    };

    using Handler =
        std::function<RadishSwitch::StreamOriginAnswer(RadishSwitch::StreamOriginTable &, Instant, Gateway *)>;
    using AnswerCallback = RadishSwitch::StreamOriginPort::Callback;

    SimulatedProcess *processOf(const std::string &name)
    {
        if (const auto it = m_gateways.find(name); it != m_gateways.end()) {
            return it->second->process.get();
        }
        const auto it = m_homes.find(name);
        return it == m_homes.end() ? nullptr : it->second->process.get();
    }

    bool isLinked(const std::string &from, const std::string &to) const
    {
        return m_cutOff.contains(from) == m_cutOff.contains(to);
    }

    /// The gateway, if a caller reaches it.
    Gateway *awake(const std::string &name)
    {
        const auto it = m_gateways.find(name);
        return it == m_gateways.end() || it->second->process->isFrozen() ? nullptr : it->second.get();
    }

    bool isInTouch(const std::string &gateway) const
    {
        const auto isCalm = [this](Instant disturbedAt) {
            return clock.now() - disturbedAt >= kStable;
        };
        return !m_cutOff.contains(gateway) && isCalm(m_disturbedAt.at(gateway)) && !store.isDown
            && isCalm(m_storeDisturbedAt);
    }

    bool isBroken(const BegunStream &stream) const
    {
        const std::shared_ptr<SimulatedProcess> process = stream.process.lock();
        return !process || process->isFrozen() || m_cutOff.contains(stream.gateway);
    }

    /// Whether the incarnation that a call was sent to still serves.
    bool isServing(const Target &target) const
    {
        const Endpoint &it = m_endpoints.at(target.endpoint);
        return it.isUp && it.start == target.start;
    }

    void writeEntry(const std::string &endpoint, std::int64_t start)
    {
        const Endpoint &it = m_endpoints.at(endpoint);
        if (it.start != start || !it.isListed || !it.isUp) {
            return;
        }
        if (store.isDown) {
            clock.after(kHeartbeat, [this, endpoint, start] {
                writeEntry(endpoint, start);
            });
            return;
        }
        store.write(kEntryPrefix + endpoint, it.version + " " + std::to_string(start));
    }

    void breakStreams(const std::string &endpoint)
    {
        for (const auto &[name, gateway] : m_gateways) {
            gateway->process->run([gateway = gateway.get(), endpoint] {
                gateway->handleBroken(endpoint);
            });
        }
    }

    void deliverStarts(const std::string &name, Gateway &gateway, const std::map<std::string, Endpoint> &endpoints)
    {
        const bool isReached = std::ranges::any_of(m_homes, [&](const auto &home) {
            return !home.second->process->isFrozen() && isLinked(home.first, name);
        });
        if (!isReached || gateway.process->isFrozen()) {
            return;
        }
        for (const auto &[endpoint, it] : endpoints) {
            if (it.isUp && it.isListed) {
                gateway.takeStart(endpoint, it.start);
            }
        }
    }

    void takeUp(const std::string &gateway, const BegunStream &stream, const Target &begunAt)
    {
        if (const auto begun = m_gateways.find(stream.gateway); begun != m_gateways.end()) {
            begun->second->m_streams.erase(stream.call);
        }
        Gateway *it = awake(gateway);
        if (!it) {
            return;
        }
        const auto serving = std::ranges::count_if(m_endpoints, [&](const auto &entry) {
            return entry.second.isUp && entry.second.isListed && entry.second.version == begunAt.version.value();
        });
        const bool isLost = isBroken(stream) || !isServing(begunAt);
        const bool isCounted = isInTouch(gateway) && serving >= 2 && isLost;
        it->takeUp(stream.call, [this, begunAt, isCounted](const std::optional<Target> &target) {
            tally.mixed += target && target->version != begunAt.version ? 1 : 0;
            if (isCounted) {
                ++(target ? tally.continued : tally.refused);
            }
        });
    }

    void deliver(const std::string &from, const std::string &to, const Handler &handler,
                 const std::function<void(const RadishSwitch::StreamOriginAnswer &)> &answer = nullptr)
    {
        clock.after(kLatency, [this, from, to, handler, answer] {
            SimulatedProcess *process = processOf(to);
            if (!process || !isLinked(from, to)) {
                return;
            }
            process->run([this, to, handler, answer] {
                const auto gateway = m_gateways.find(to);
                const bool isGateway = gateway != m_gateways.end();
                RadishSwitch::StreamOriginTable &table =
                    isGateway ? gateway->second->origins().table() : m_homes.at(to)->table;
                const RadishSwitch::StreamOriginAnswer result =
                    handler(table, clock.now(), isGateway ? gateway->second.get() : nullptr);
                if (answer) {
                    answer(result);
                }
            });
        });
    }

    /// A message that is answered, or times out.
    void exchange(Gateway &from, const std::string &to, Duration timeout, const Handler &handler,
                  AnswerCallback callback)
    {
        const auto waiting = std::make_shared<AnswerCallback>(std::move(callback));
        const auto finish = [waiting](const absl::StatusOr<RadishSwitch::StreamOriginAnswer> &answer) {
            if (const AnswerCallback callback = std::exchange(*waiting, nullptr)) {
                callback(answer);
            }
        };
        from.process->after(timeout, [finish] {
            finish(RadishSwitch::makeFailure(RadishSwitch::FailureCode::ConnectionSilent, "silent"));
        });
        const std::weak_ptr<SimulatedProcess> asker = from.process;
        deliver(from.m_name, to, handler,
                [this, asker, name = from.m_name, to, finish](const RadishSwitch::StreamOriginAnswer &answer) {
                    clock.after(kLatency, [this, asker, name, to, finish, answer] {
                        const std::shared_ptr<SimulatedProcess> process = asker.lock();
                        if (process && isLinked(to, name)) {
                            process->run([finish, answer] {
                                finish(answer);
                            });
                        }
                    });
                });
    }

    std::map<std::string, RadishSwitch::FleetPeer> m_peers;
    std::map<std::string, Endpoint> m_endpoints;
    std::int64_t m_starts = 0;
    std::set<std::string> m_cutOff;
    /// When the last trouble of a process ended.
    std::map<std::string, Instant> m_disturbedAt;
    Instant m_storeDisturbedAt{};
    int m_calls = 0;
    std::map<std::string, std::unique_ptr<Home>> m_homes;
    std::map<std::string, std::unique_ptr<Gateway>> m_gateways;
};
