#include "chiveshelf/membership/MemberStateMachine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace chiveshelf {

namespace {

    namespace msm = boost::msm;
    namespace mpl = boost::mpl;
    using msm::front::none;
    using msm::front::Row;

    struct Report {
        std::uint64_t incarnation;
    };
    struct ReportedLive : Report {
    };
    struct ReportedSuspect : Report {
    };
    struct ReportedLeaving : Report {
    };
    struct ReportedGone : Report {
    };

    struct IsNewer {
        template <typename Event, typename Machine, typename Source, typename Target>
        bool operator()(const Event& event, const Machine& machine, const Source&, const Target&) const
        {
            return event.incarnation > machine.incarnation;
        }
    };

    struct IsNotOlder {
        template <typename Event, typename Machine, typename Source, typename Target>
        bool operator()(const Event& event, const Machine& machine, const Source&, const Target&) const
        {
            return event.incarnation >= machine.incarnation;
        }
    };

    struct SetIncarnation {
        template <typename Event, typename Machine, typename Source, typename Target>
        void operator()(const Event& event, Machine& machine, const Source&, const Target&) const
        {
            machine.incarnation = event.incarnation;
        }
    };

    template <MemberState memberState>
    struct State : msm::front::state<> {
        template <typename Event, typename Machine>
        void on_entry(const Event&, Machine& machine)
        {
            machine.state = memberState;
        }
    };

    struct Definition : msm::front::state_machine_def<Definition> {
        using Live = State<MemberState::Live>;
        using Suspect = State<MemberState::Suspect>;
        using Leaving = State<MemberState::Leaving>;
        using Gone = State<MemberState::Gone>;
        using initial_state = Live;

        // clang-format off
        // NOLINTNEXTLINE(readability-identifier-naming): Boost.MSM looks the type up by this name.
        struct transition_table : mpl::vector<
            Row<Live,    ReportedLive,    none,    SetIncarnation, IsNewer>,
            Row<Live,    ReportedSuspect, Suspect, SetIncarnation, IsNotOlder>,
            Row<Live,    ReportedLeaving, Leaving, SetIncarnation, IsNotOlder>,
            Row<Live,    ReportedGone,    Gone,    SetIncarnation, IsNotOlder>,
            Row<Suspect, ReportedLive,    Live,    SetIncarnation, IsNewer>,
            Row<Suspect, ReportedSuspect, none,    SetIncarnation, IsNewer>,
            Row<Suspect, ReportedLeaving, Leaving, SetIncarnation, IsNotOlder>,
            Row<Suspect, ReportedGone,    Gone,    SetIncarnation, IsNotOlder>,
            Row<Leaving, ReportedLive,    Live,    SetIncarnation, IsNewer>,
            Row<Leaving, ReportedSuspect, Suspect, SetIncarnation, IsNewer>,
            Row<Leaving, ReportedLeaving, none,    SetIncarnation, IsNewer>,
            Row<Leaving, ReportedGone,    Gone,    SetIncarnation, IsNotOlder>,
            Row<Gone,    ReportedLive,    Live,    SetIncarnation, IsNewer>,
            Row<Gone,    ReportedSuspect, Suspect, SetIncarnation, IsNewer>,
            Row<Gone,    ReportedLeaving, Leaving, SetIncarnation, IsNewer>,
            Row<Gone,    ReportedGone,    none,    SetIncarnation, IsNewer>
        > {};
        // clang-format on

        template <typename Machine, typename Event>
        void no_transition(const Event&, Machine&, int)
        {
        }

        MemberState state = MemberState::Live;
        std::uint64_t incarnation = 0;
    };

}

struct MemberStateMachine::Impl : msm::back::state_machine<Definition> {
};

MemberStateMachine::MemberStateMachine(MemberState initial, std::uint64_t incarnation)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->start();
    report(initial, incarnation);
}

MemberStateMachine::~MemberStateMachine() = default;
MemberStateMachine::MemberStateMachine(MemberStateMachine&&) noexcept = default;
MemberStateMachine& MemberStateMachine::operator=(MemberStateMachine&&) noexcept = default;

bool MemberStateMachine::report(MemberState reported, std::uint64_t incarnation)
{
    const auto stateBefore = m_impl->state;
    const auto incarnationBefore = m_impl->incarnation;
    switch (reported) {
    case MemberState::Live:
        m_impl->process_event(ReportedLive { { incarnation } });
        break;
    case MemberState::Suspect:
        m_impl->process_event(ReportedSuspect { { incarnation } });
        break;
    case MemberState::Leaving:
        m_impl->process_event(ReportedLeaving { { incarnation } });
        break;
    case MemberState::Gone:
        m_impl->process_event(ReportedGone { { incarnation } });
        break;
    }
    return m_impl->state != stateBefore || m_impl->incarnation != incarnationBefore;
}

MemberState MemberStateMachine::state() const
{
    return m_impl->state;
}

std::uint64_t MemberStateMachine::incarnation() const
{
    return m_impl->incarnation;
}

}
