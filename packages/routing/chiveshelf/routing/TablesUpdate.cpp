#include "chiveshelf/routing/TablesUpdate.h"

#include "chiveshelf/core/Hash.h"
#include "chiveshelf/routing/TableFields.h"

#include <bit>
#include <map>
#include <utility>

namespace chiveshelf {

namespace {

    // Limit for the rows of a table, so that a malformed update can't exhaust the memory. Text of 1 MB has some 4,200 routes.
    constexpr std::size_t maxRows = 100'000;

    // Archive that hashes the fields passed to it.
    class FieldHash {
    public:
        template <typename... Fields>
        void operator()(const Fields&... fields)
        {
            (add(fields), ...);
        }

        std::uint64_t value() const { return m_value; }

    private:
        template <typename Field>
        void add(const Field& field)
        {
            if constexpr (std::is_enum_v<Field> || std::is_integral_v<Field>)
                mix(static_cast<std::uint64_t>(field));
            else if constexpr (std::is_same_v<Field, double>)
                mix(std::bit_cast<std::uint64_t>(field));
            else
                serialize(*this, field);
        }

        void add(const std::string& text)
        {
            m_value = hash64(text, m_value);
        }

        void add(std::chrono::milliseconds duration)
        {
            add(duration.count());
        }

        template <typename Field>
        void add(const std::optional<Field>& field)
        {
            add(field.has_value());
            if (field)
                add(*field);
        }

        template <typename Field>
        void add(const std::vector<Field>& fields)
        {
            add(fields.size());
            for (const auto& it : fields)
                add(it);
        }

        void mix(std::uint64_t number)
        {
            constexpr std::uint64_t oddFactor = 0x9E37'79B9'7F4A'7C15;
            constexpr int rotation = 29;
            m_value = std::rotl((m_value ^ number) * oddFactor, rotation);
        }

        std::uint64_t m_value = 0;
    };

    template <typename Row>
    struct RowLess {
        bool operator()(const Row* left, const Row* right) const { return *left < *right; }
    };

    template <typename Row>
    RowsUpdate<Row> makeRowsUpdate(const std::vector<Row>& base, const std::vector<Row>& rows)
    {
        std::map<const Row*, std::uint32_t, RowLess<Row>> indices;
        bool isIndexed = false;
        RowsUpdate<Row> out;
        // Index of the base's row after the last one that is kept.
        std::size_t next = 0;
        for (const auto& row : rows) {
            const bool isAtNext = next < base.size() && base[next] == row;
            // Most changes leave most rows in their place. The index is made only if a row is elsewhere or new.
            if (!isAtNext && !std::exchange(isIndexed, true)) {
                for (std::size_t i = 0; i < base.size(); ++i)
                    indices.emplace(&base[i], static_cast<std::uint32_t>(i));
            }
            const auto it = isAtNext ? indices.end() : indices.find(&row);
            if (!isAtNext && it == indices.end()) {
                if (out.steps.empty())
                    out.steps.emplace_back();
                ++out.steps.back().added;
                out.rows.push_back(row);
                continue;
            }
            const auto index = isAtNext ? static_cast<std::uint32_t>(next) : it->second;
            const bool continues = !out.steps.empty() && out.steps.back().added == 0 && out.steps.back().begin + out.steps.back().kept == index;
            if (!continues)
                out.steps.push_back({ index, 0, 0 });
            ++out.steps.back().kept;
            next = index + std::size_t(1);
        }
        return out;
    }

    template <typename Row>
    bool applyRowsUpdate(const RowsUpdate<Row>& update, const std::vector<Row>& base, std::vector<Row>& out)
    {
        std::size_t used = 0;
        for (const auto& step : update.steps) {
            const bool isInRange = step.begin <= base.size() && step.kept <= base.size() - step.begin && step.added <= update.rows.size() - used;
            if (!isInRange || out.size() + step.kept + step.added > maxRows)
                return false;
            const auto kept = base.begin() + static_cast<std::ptrdiff_t>(step.begin);
            const auto added = update.rows.begin() + static_cast<std::ptrdiff_t>(used);
            out.insert(out.end(), kept, kept + static_cast<std::ptrdiff_t>(step.kept));
            out.insert(out.end(), added, added + static_cast<std::ptrdiff_t>(step.added));
            used += step.added;
        }
        return used == update.rows.size();
    }

}

std::uint64_t tablesChecksum(const RoutingTables& tables)
{
    FieldHash hash;
    hash(tables.version, tables.routes, tables.pools, tables.organisations, tables.limits);
    return hash.value();
}

TablesUpdate makeTablesUpdate(const RoutingTables& base, const RoutingTables& tables)
{
    return { base.version, tables.version, tablesChecksum(tables), makeRowsUpdate(base.routes, tables.routes), makeRowsUpdate(base.pools, tables.pools),
        makeRowsUpdate(base.organisations, tables.organisations), tables.limits };
}

tl::expected<RoutingTables, std::string> applyTablesUpdate(const TablesUpdate& update, const RoutingTables& base)
{
    if (update.baseVersion != base.version)
        return tl::unexpected<std::string>("the update is for version " + std::to_string(update.baseVersion) + ", not " + std::to_string(base.version));
    RoutingTables out;
    out.version = update.version;
    out.limits = update.limits;
    const bool isApplied = applyRowsUpdate(update.routes, base.routes, out.routes) && applyRowsUpdate(update.pools, base.pools, out.pools)
        && applyRowsUpdate(update.organisations, base.organisations, out.organisations);
    if (!isApplied)
        return tl::unexpected<std::string>("the update refers to rows that don't exist");
    if (tablesChecksum(out) != update.checksum)
        return tl::unexpected<std::string>("the result has another checksum than the sender's");
    return out;
}

}
