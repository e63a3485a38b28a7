#include "platform/CacheCalls.h"
#include "platform/RequestHeaders.h"
#include "platform/RunnerOrders.h"
#include "platform/StoreFormat.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace chiveshelf;
using namespace chiveshelf::platform;
using std::chrono::milliseconds;

const char* const tablesText = R"({"version":7,"routes":[
{"name":"r1","host":"pule25.example","pathPrefix":"/cufi501/fi50/","kind":"stream","timeoutMs":10000,"goalMs":250,"priority":0,"service":"huvo11a","attempts":2,"public":false,"sticky":true,"resumable":true,"gapAimMs":400},
{"name":"r2","host":"pule25.example","pathPrefix":"/puxa400/","kind":"non_idempotent","timeoutMs":12000,"goalMs":1200,"priority":2,"backends":[{"service":"huvo11a","weight":90},{"service":"kafi81c","weight":10}],"attempts":1,"public":true}],
"services":[{"name":"daje37f","kvStoreAddr":"172.20.0.6:8006","zone":"hartford","kvTokens":188068,"linkMbps":2600000.0,"maxInflight":12,"managed":true,"first_ms":0.5},
{"name":"huvo11a","healthPath":"/healthz","maxConns":360,"engine":{"capacity":64,"kvTokens":138177,"kvBytes":327680,"linkMbps":310000.0,"models":[{"name":"daka510000"}]}},
{"name":"kafi81c","healthPath":"/healthz","maxConns":100}],
"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerMs":3000,"idleMs":15000},
"tenants":[{"name":"bozi300","apiKeys":["k1","k2"],"priority":1},{"name":"b2","apiKeys":[],"dedicated":true}]})";

const char* const runnerText = R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"hartford","version":"v1","capacity":64,"state":"ready","coldLeftMs":0,"stage":"both","models":[{"name":"daka510000","version":1,"adapters":[]}],"sequence":4})";

class PlatformFormatsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlatformFormatsTest);
    CPPUNIT_TEST(tablesFromPlatformAreDecoded);
    CPPUNIT_TEST(invalidTablesAreRejectedEntirely);
    CPPUNIT_TEST(runnerEntryFromPlatformIsDecoded);
    CPPUNIT_TEST(invalidRunnerEntryHasNoRecord);
    CPPUNIT_TEST(removedRunnerEntryHasNoRecord);
    CPPUNIT_TEST(onlyValidAnnouncedVersionIsDecoded);
    CPPUNIT_TEST(warmUpLimitsAreDecodedOnlyIfBothAreSet);
    CPPUNIT_TEST(evacuationAndItsEndAreDecoded);
    CPPUNIT_TEST(callerHeadersAreDecoded);
    CPPUNIT_TEST(repeatedSingletonHeaderIsAmbiguous);
    CPPUNIT_TEST(reservedHeadersFromCallerAreNotForwarded);
    CPPUNIT_TEST(headerNamedInConnectionIsHopByHopUnlessSingleton);
    CPPUNIT_TEST(fetchAddressesAreWrittenAsOneEntryPerPart);
    CPPUNIT_TEST(runnerHeadersAreDecoded);
    CPPUNIT_TEST(loadWithAdditionalNumbersIsDecoded);
    CPPUNIT_TEST(requestLimitIsDecodedAndUnreadableOneIsNeitherSetNorAbsent);
    CPPUNIT_TEST(leavingAndRetryAfterAreDecoded);
    CPPUNIT_TEST(weightReportIsDecodedAndVersionOrderIsEncoded);
    CPPUNIT_TEST(onlyValidCacheChangesAreDecoded);
    CPPUNIT_TEST(cacheNumbersOutOfRangeAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void tablesFromPlatformAreDecoded()
    {
        CPPUNIT_ASSERT(peekTablesVersion(tablesText) == std::uint64_t(7));
        const auto tables = decodeTables(tablesText);
        CPPUNIT_ASSERT(tables);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), tables->version);
        const auto& first = tables->routes.at(0);
        CPPUNIT_ASSERT(first.kind == RequestKind::Stream && first.isResumable && first.mayRepeat());
        CPPUNIT_ASSERT(first.timeLimit == milliseconds(10'000) && first.goal == milliseconds(250));
        CPPUNIT_ASSERT_EQUAL(2U, first.runLimit);
        const auto& second = tables->routes.at(1);
        CPPUNIT_ASSERT(second.isPublic && !second.mayRepeat());
        CPPUNIT_ASSERT((second.pools == std::vector<PoolShare> { { "huvo11a", 90 }, { "kafi81c", 10 } }));
        CPPUNIT_ASSERT(tables->pools.at(0).store && tables->pools.at(0).store->memoryTokens == 188'068);
        CPPUNIT_ASSERT(tables->pools.at(0).store->linkMbps == 2'600'000.0 && tables->pools.at(0).store->setUpMs == 0.5);
        CPPUNIT_ASSERT(tables->pools.at(1).engine && tables->pools.at(1).engine->bytesPerToken == 327'680);
        CPPUNIT_ASSERT(!tables->pools.at(2).engine);
        CPPUNIT_ASSERT(tables->organisations.at(0).priority == 1U);
        CPPUNIT_ASSERT(tables->organisations.at(1).isDedicated);
        CPPUNIT_ASSERT(tables->limits.idleTime == milliseconds(15'000));
    }

    void invalidTablesAreRejectedEntirely()
    {
        CPPUNIT_ASSERT(!peekTablesVersion("{"));
        CPPUNIT_ASSERT(!peekTablesVersion(R"({"version":"7"})"));
        CPPUNIT_ASSERT(!peekTablesVersion(R"({"limits":{"version":7}})"));
        CPPUNIT_ASSERT(!peekTablesVersion(R"([{"version":7}])"));
        CPPUNIT_ASSERT(!decodeTables("{"));
        CPPUNIT_ASSERT(!decodeTables("[]"));
        CPPUNIT_ASSERT(!decodeTables(R"({"routes":[]})"));
        CPPUNIT_ASSERT(!decodeTables(R"({"version":"7"})"));
        CPPUNIT_ASSERT(!decodeTables(R"({"version":7,"routes":[{"host":"h"}]})"));
        CPPUNIT_ASSERT(!decodeTables(R"({"version":7,"routes":{}})"));
    }

    void runnerEntryFromPlatformIsDecoded()
    {
        const auto item = decode("servers/i-7f3a91c2", runnerText);
        CPPUNIT_ASSERT_EQUAL(std::string("i-7f3a91c2"), item.id);
        CPPUNIT_ASSERT(item.record);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(8'080), item.record->address.port);
        CPPUNIT_ASSERT_EQUAL(64U, item.record->slots);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), item.record->modelVersions.at("daka510000"));
        auto leaving = std::string(runnerText);
        leaving.replace(leaving.find("\"ready\""), 7, "\"draining\"");
        CPPUNIT_ASSERT(decode("servers/x", leaving).record->isLeaving);
    }

    void warmUpLimitsAreDecodedOnlyIfBothAreSet()
    {
        const auto warmUpOf = [](const std::string& fields) {
            return decodeTables(R"({"version":7,"services":[{"name":"a")" + fields + "}]}")->pools.at(0).warmUp;
        };
        CPPUNIT_ASSERT((warmUpOf(R"(,"coldStartS":3.5,"coldPerS":10.0)") == WarmUpLimits { milliseconds(3'500), 10 }));
        CPPUNIT_ASSERT(!warmUpOf(R"(,"coldStartS":0.0,"coldPerS":0.0)"));
        CPPUNIT_ASSERT(!warmUpOf(R"(,"coldStartS":3.5)"));
        CPPUNIT_ASSERT(!warmUpOf(""));
    }

    void evacuationAndItsEndAreDecoded()
    {
        const auto begun = std::get<EvacuationItem>(decodeItem({ { "op/evacuate/hartford", "{}", 4 }, false }));
        CPPUNIT_ASSERT_EQUAL(std::string("hartford"), begun.dataCentre);
        CPPUNIT_ASSERT(begun.isInForce);
        CPPUNIT_ASSERT(!std::get<EvacuationItem>(decodeItem({ { "op/evacuate/hartford", "", 5 }, true })).isInForce);
    }

    void invalidRunnerEntryHasNoRecord()
    {
        const std::vector<std::pair<std::string, std::string>> invalidEdits { { R"("capacity":64)", R"("capacity":"64")" }, { R"("capacity":64,)", "" },
            { R"("state":"ready")", R"("state":"resting")" }, { R"("state":"ready",)", "" }, { "10.128.0.9:8080", "somewhere" },
            { R"("sequence":4)", R"("sequence":"four")" }, { R"("zone":"hartford")", R"("zone":7)" }, { R"("models":[)", R"("models":[3,)" },
            { R"("coldLeftMs":0)", R"("coldLeftMs":"no")" }, { R"("coldLeftMs":0)", R"("coldLeftMs":1e300)" }, { R"("coldLeftMs":0)", R"("coldLeftMs":1e999)" },
            { R"("capacity":64)", R"("capacity":4294967301)" }, { R"("capacity":64)", R"("capacity":100000000000000000000000000)" }, { R"("sequence":4)", R"("sequence":9223372036854775808)" },
            { ":8080", ":70000" }, { ":8080", ":0" }, { ":8080", ":-1" }, { R"("sequence":4)", R"("sequence":4,"born":1.5)" }, { "}", "" } };
        for (const auto& [from, to] : invalidEdits) {
            auto text = std::string(runnerText);
            text.replace(text.rfind(from), from.size(), to);
            CPPUNIT_ASSERT_MESSAGE(text, !decode("servers/x", text).record);
        }
        CPPUNIT_ASSERT(!decode("servers/x", "\xff\xfe").record);
    }

    void removedRunnerEntryHasNoRecord()
    {
        const auto decoded = decodeItem({ { "servers/x", "", 4 }, true });
        const auto* item = std::get_if<RunnerItem>(&decoded);
        CPPUNIT_ASSERT(item && item->id == "x" && !item->record);
    }

    void onlyValidAnnouncedVersionIsDecoded()
    {
        const auto good = decodeItem({ { "op/version/daka510000", R"({"model":"daka510000","version":2})", 4 }, false });
        CPPUNIT_ASSERT((std::get<ModelTarget>(good) == ModelTarget { "daka510000", 2 }));
        const auto bad = decodeItem({ { "op/version/daka510000", R"({"model":"daka510000","version":-2})", 4 }, false });
        CPPUNIT_ASSERT(!std::get<OtherItem>(bad).problem.empty());
    }

    void callerHeadersAreDecoded()
    {
        const auto headers = decodeCallerHeaders(callerFields());
        CPPUNIT_ASSERT_EQUAL(std::string("9c41"), headers.requestId);
        CPPUNIT_ASSERT(headers.timeLeft == milliseconds(12'000));
        CPPUNIT_ASSERT(headers.prompt);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1'460), headers.prompt->promptTokens);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(80), headers.prompt->outputTokens);
        CPPUNIT_ASSERT((headers.prompt->parts == std::vector<PromptPart> { { 0x5c1e07a2, 800 }, { 0x91bd3f06, 410 }, { 0xe4402b7d, 250 } }));
        CPPUNIT_ASSERT(!headers.isAmbiguous);
    }

    void repeatedSingletonHeaderIsAmbiguous()
    {
        for (const auto* name : { "X-Request-Id", "Api-Key", "Host", "X-Prompt-Prefix" }) {
            auto fields = callerFields();
            fields.insert(name, "second");
            CPPUNIT_ASSERT_MESSAGE(name, decodeCallerHeaders(fields).isAmbiguous);
        }
    }

    void reservedHeadersFromCallerAreNotForwarded()
    {
        auto fields = callerFields();
        for (const auto* name : { "X-Tenant", "X-Cache-Salt", "X-Kv-Fetch", "X-Kv-Save", "Kv-From", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "X-Kv-Until",
                 "X-Expect-Instance", "X-Expect-Version", "X-Request-Priority" })
            fields.set(name, "forged");
        fields.set("X-Other", "kept");
        RunnerRequestHeaders order;
        order.timeLeft = milliseconds(900);
        order.runnerId = "i-1";
        order.organisation = "bozi300";
        std::string out;
        appendRunnerHeaders(out, fields, order);
        CPPUNIT_ASSERT(out.find("forged") == std::string::npos);
        CPPUNIT_ASSERT(out.find("Api-Key") == std::string::npos);
        CPPUNIT_ASSERT(out.find("X-Other: kept\r\n") != std::string::npos);
        CPPUNIT_ASSERT(out.find("X-Deadline-Ms: 900\r\n") != std::string::npos);
        CPPUNIT_ASSERT(out.find("12000") == std::string::npos);
        CPPUNIT_ASSERT(out.find("X-Tenant: bozi300\r\n") != std::string::npos);
        CPPUNIT_ASSERT(out.find("X-Expect-Instance: i-1\r\n") != std::string::npos);
    }

    void headerNamedInConnectionIsHopByHopUnlessSingleton()
    {
        CPPUNIT_ASSERT(isHopByHop("X-Note", "close, x-note"));
        CPPUNIT_ASSERT(!isHopByHop("X-Model", "X-Model"));
        CPPUNIT_ASSERT(!isHopByHop("X-Note", "close"));
        CPPUNIT_ASSERT(isHopByHop("Transfer-Encoding", ""));
    }

    void fetchAddressesAreWrittenAsOneEntryPerPart()
    {
        RunnerRequestHeaders order;
        order.fetchFrom = { Address { "10.2.64.3", 8'080 }, std::nullopt, std::nullopt };
        order.saveTo = { std::nullopt, std::nullopt, std::nullopt };
        order.fetchUntilMs = 77;
        std::string out;
        appendRunnerHeaders(out, callerFields(), order);
        CPPUNIT_ASSERT(out.find("X-Kv-Fetch: 10.2.64.3:8080,-,-\r\n") != std::string::npos);
        CPPUNIT_ASSERT(out.find("X-Kv-Until: 77\r\n") != std::string::npos);
        CPPUNIT_ASSERT(out.find("X-Kv-Save") == std::string::npos);
    }

    void runnerHeadersAreDecoded()
    {
        Fields fields;
        fields.set("X-Request-Id", "9c41");
        fields.set("X-Server-Seal", "3e1b");
        fields.set("X-Server-Load", "3,0,8");
        fields.set("X-Weight-Versions", "2");
        fields.set("Keep-Alive", "timeout=5, max=3");
        const auto headers = decodeRunnerHeaders(fields);
        CPPUNIT_ASSERT(headers.isSealed && !headers.isNotRun && !headers.isEncoded);
        CPPUNIT_ASSERT((headers.load == LoadReport { 3, 0, 8 }));
        CPPUNIT_ASSERT(headers.weightVersion == 2U);
        CPPUNIT_ASSERT(headers.keepAlive == std::chrono::seconds(5));
        fields.set("X-Server-Load", "3,x,8");
        CPPUNIT_ASSERT(!decodeRunnerHeaders(fields).load);
    }

    // Guards against a load report that is discarded because a later version of the format appended a number.
    void loadWithAdditionalNumbersIsDecoded()
    {
        Fields fields;
        fields.set("X-Server-Load", "3,0,8,140");
        CPPUNIT_ASSERT(decodeRunnerHeaders(fields).load);
        CPPUNIT_ASSERT_EQUAL(3, decodeRunnerHeaders(fields).load->running);
        CPPUNIT_ASSERT_EQUAL(8, decodeRunnerHeaders(fields).load->slots);
        CPPUNIT_ASSERT_EQUAL(140, decodeRunnerHeaders(fields).load->workPercent);
        fields.set("X-Server-Load", "3,0,8,x,9");
        CPPUNIT_ASSERT((decodeRunnerHeaders(fields).load == LoadReport { 3, 0, 8, 100 }));
        fields.set("X-Server-Load", "3,0");
        CPPUNIT_ASSERT(!decodeRunnerHeaders(fields).load);
    }

    // Guards against lifting a limit because its value can't be read.
    void requestLimitIsDecodedAndUnreadableOneIsNeitherSetNorAbsent()
    {
        Fields fields;
        CPPUNIT_ASSERT(!decodeRunnerHeaders(fields).requestLimit);
        CPPUNIT_ASSERT(!decodeRunnerHeaders(fields).isRequestLimitUnreadable);
        fields.set("Server-Limit", " 3.6 ");
        CPPUNIT_ASSERT(decodeRunnerHeaders(fields).requestLimit == 3.6);
        fields.set("Server-Limit", "0");
        CPPUNIT_ASSERT(decodeRunnerHeaders(fields).requestLimit == 0.0);
        for (const auto* text : { "", "-1", "nan", "inf", "1e999", "3,6", "3 per s" }) {
            fields.set("Server-Limit", text);
            CPPUNIT_ASSERT_MESSAGE(text, !decodeRunnerHeaders(fields).requestLimit);
            CPPUNIT_ASSERT_MESSAGE(text, decodeRunnerHeaders(fields).isRequestLimitUnreadable);
        }
    }

    void leavingAndRetryAfterAreDecoded()
    {
        Fields fields;
        CPPUNIT_ASSERT(!decodeRunnerHeaders(fields).isLeaving);
        CPPUNIT_ASSERT(!decodeRunnerHeaders(fields).retryAfter);
        fields.set("Server-Leaving", "1");
        fields.set("Retry-After", "1.25");
        CPPUNIT_ASSERT(decodeRunnerHeaders(fields).isLeaving);
        CPPUNIT_ASSERT(decodeRunnerHeaders(fields).retryAfter == milliseconds(1'250));
        fields.set("Retry-After", "1e300");
        CPPUNIT_ASSERT(decodeRunnerHeaders(fields).retryAfter == std::chrono::hours(1));
        for (const auto* text : { "-1", "nan", "soon", "", "1s", "Fri, 04 Dec 2026 10:00:00 GMT" }) {
            fields.set("Retry-After", text);
            CPPUNIT_ASSERT(!decodeRunnerHeaders(fields).retryAfter);
        }
    }

    void weightReportIsDecodedAndVersionOrderIsEncoded()
    {
        const auto report = decodeWeightReport(R"({"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":2,"waiting":1})");
        CPPUNIT_ASSERT(report && report->orderCount == 2 && !report->isBusy && report->modelVersions.at("m") == 1);
        CPPUNIT_ASSERT(!decodeWeightReport(R"({"models":[{"name":"m"}],"busy":false,"sequence":2})"));
        VersionOrder order;
        order.model = "m";
        order.version = 2;
        order.holder = "h";
        order.fencingToken = 41;
        order.expectedOrderCount = 2;
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"expected":2,"fence":41,"holder":"h","mode":"wait","model":"m","operation":"version","version":2})"),
            encodeVersionOrder(order));
    }

    // Guards against a number that another program wrote and whose conversion is undefined.
    void cacheNumbersOutOfRangeAreRejected()
    {
        for (const auto* tokens : { "1e300", "-1e300", "-1", "1e16", "null" }) {
            CPPUNIT_ASSERT_MESSAGE(tokens, !decodeCacheChanges(R"({"epoch":1,"nextToken":2,"events":[[1,"+","s1","5c",)" + std::string(tokens) + R"(,"m"]]})"));
            CPPUNIT_ASSERT_MESSAGE(tokens, !decodeCacheListing(R"({"epoch":1,"nextToken":2,"held":[["s1","5c",)" + std::string(tokens) + R"(,"m"]]})"));
            const auto changes = decodeCacheChanges(R"({"epoch":1,"nextToken":2,"events":[],"clock_ms":)" + std::string(tokens) + "}");
            CPPUNIT_ASSERT_MESSAGE(tokens, changes && !changes->clockMs);
        }
    }

    void onlyValidCacheChangesAreDecoded()
    {
        const auto changes = decodeCacheChanges(
            R"({"epoch":77120,"nextToken":120,"lost":false,"clock_ms":12.5,"events":[[119,"+","s1","5c1e07a2",800,"m"],[120,"-","s1","91bd3f06",128,"m"]]})");
        CPPUNIT_ASSERT(changes && changes->epoch == 77'120 && changes->position == 120 && changes->clockMs == 12);
        CPPUNIT_ASSERT(changes->changes.at(0).isStored && changes->changes.at(0).partId == 0x5c1e07a2);
        CPPUNIT_ASSERT(!changes->changes.at(1).isStored);
        CPPUNIT_ASSERT(!decodeCacheChanges(R"({"epoch":1,"nextToken":2,"events":[[1,"+","s"]]})"));
        CPPUNIT_ASSERT(!decodeCacheChanges(R"({"nextToken":2,"events":[]})"));
        const auto listing = decodeCacheListing(R"({"epoch":77120,"nextToken":120,"held":[["s1","5c1e07a2",800,"m"]]})");
        CPPUNIT_ASSERT(listing && listing->parts.at(0).name.scope == "s1");
    }

private:
    static RunnerItem decode(const std::string& key, const std::string& text)
    {
        return std::get<RunnerItem>(decodeItem({ { key, text, 4 }, false }));
    }

    static Fields callerFields()
    {
        Fields fields;
        fields.set("Host", "pule25.example");
        fields.set("X-Request-Id", "9c41");
        fields.set("X-Model", "daka510000");
        fields.set("X-Token-Count", "1460,80");
        fields.set("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
        fields.set("X-Deadline-Ms", "12000");
        fields.set("Api-Key", "k1");
        return fields;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformFormatsTest);

}
