#include "chiveshelf/gateway/GatewayMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <vector>

namespace chiveshelf {

namespace {

    void addLoopDelays(prometheus::Registry& registry, const LoopDelays& delays)
    {
        const std::vector<double> limits(LoopDelays::bucketLimitsMs.begin(), LoopDelays::bucketLimitsMs.end());
        auto& family = prometheus::BuildHistogram().Name("chiveshelf_gateway_loop_delay_ms").Help("How late the event loop ran its timers, in ms.").Register(registry);
        family.Add({}, limits).ObserveMultiple({ delays.counts.begin(), delays.counts.end() }, delays.totalMs);
        prometheus::BuildGauge().Name("chiveshelf_gateway_loop_delay_ms_max").Help("The longest of these delays.").Register(registry).Add({}).Set(delays.longestMs);
    }

}

std::string formatGatewayMetrics(const GatewayMetrics& metrics, const std::map<std::string, double>& gauges)
{
    prometheus::Registry registry;
    const auto addCounters = [&](const char* name, const char* help, const char* label, const std::map<std::string, std::uint64_t>& values) {
        auto& family = prometheus::BuildCounter().Name(name).Help(help).Register(registry);
        for (const auto& [key, value] : values)
            family.Add({ { label, key } }).Increment(static_cast<double>(value));
    };
    const auto addCounter = [&](const char* name, const char* help, double value) {
        prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({}).Increment(value);
    };
    addCounters("chiveshelf_gateway_requests_total", "Requests by how they ended.", "outcome", metrics.requests);
    addCounters("chiveshelf_gateway_refusals_total", "Refusals by reason.", "reason", metrics.refusals);
    addCounters("chiveshelf_gateway_limited_sends_total", "Requests sent to runners while they stated a limit, by runner.", "runner", metrics.limitedSends);
    addCounters("chiveshelf_gateway_unframed_answers_total", "Answers with neither a length nor chunks, by how their connection ended.", "end", metrics.unframedAnswers);
    addCounters("chiveshelf_gateway_stream_resumptions_total", "Sends to runners that continue a stream, by what made it necessary.", "by", metrics.streamResumptions);
    addCounters("chiveshelf_gateway_stream_take_ups_total", "Streams that callers resume, by how their origin is known.", "origin", metrics.takeUps);
    addCounters("chiveshelf_gateway_closed_callers_total", "Connections of callers that this host closed, by reason.", "reason", metrics.closedCallers);
    addCounters("chiveshelf_gateway_tables_arrivals_total", "Tables that came into force, by way.", "way", metrics.tablesArrivals);
    addCounters("chiveshelf_gateway_suspicion_events_total", "Failed connections to runners that hosts share, by event.", "event", metrics.suspicionEvents);
    addCounter("chiveshelf_gateway_tables_pieces_total", "Pieces of tables sent to other hosts.", static_cast<double>(metrics.tablesPieces));
    addCounter("chiveshelf_gateway_tables_bytes_total", "Bytes of these pieces.", static_cast<double>(metrics.tablesBytes));
    addCounter("chiveshelf_gateway_tables_busy_total", "Requests for pieces that found no slot.", static_cast<double>(metrics.tablesBusy));
    addCounter("chiveshelf_gateway_refused_connections_total", "Connections of callers beyond the bound.", static_cast<double>(metrics.refusedConnections));
    addCounter("chiveshelf_gateway_capacity_samples_total", "Requests from which this host learned the capacity of a runner.", static_cast<double>(metrics.capacitySamples));
    addCounter("chiveshelf_gateway_capacity_probes_total", "Requests sent to a runner that was expected to be slow, to find out whether it still is.", static_cast<double>(metrics.capacityProbes));
    addLoopDelays(registry, metrics.loopDelays);
    addCounter("chiveshelf_gateway_repeats_total", "Sends beyond the first of each request.", static_cast<double>(metrics.repeats));
    addCounter("chiveshelf_gateway_resumes_total", "Streams resumed at another runner.", static_cast<double>(metrics.resumes));
    addCounter("chiveshelf_gateway_warm_up_sends_total", "Requests sent to runners that were warming up under a bound.", static_cast<double>(metrics.warmUpSends));
    addCounter("chiveshelf_gateway_stray_answers_total", "Answers that belonged to other requests.", static_cast<double>(metrics.strayResponses));
    addCounter("chiveshelf_gateway_unheld_answers_total", "Answers that could not be held back within the memory for all of them.", static_cast<double>(metrics.unheldResponses));
    addCounter("chiveshelf_gateway_predictions_total", "First bytes whose time was predicted.", static_cast<double>(metrics.predictions));
    addCounter("chiveshelf_gateway_prediction_error_ms_total", "Sum of the absolute errors of these predictions.", metrics.predictionErrorMs);
    addCounter("chiveshelf_gateway_predicted_ms_total", "Sum of the predicted times.", metrics.predictedMs);
    addCounter("chiveshelf_gateway_measured_ms_total", "Sum of the measured times.", metrics.measuredMs);
    for (const auto& [name, value] : gauges)
        prometheus::BuildGauge().Name("chiveshelf_gateway_" + name).Help("Present value.").Register(registry).Add({}).Set(value);
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

}
