file(GLOB support_sources CONFIGURE_DEPENDS tests/support/*.cpp)
list(FILTER support_sources EXCLUDE REGEX "UnitTestMain\\.cpp$")
add_library(chiveshelf_test_support STATIC ${support_sources})
target_include_directories(chiveshelf_test_support PUBLIC tests/support)
target_link_libraries(chiveshelf_test_support PUBLIC chiveshelf_http chiveshelf_cache chiveshelf_tables chiveshelf_fakes_lib)
chiveshelf_use_pch(chiveshelf_test_support)

chiveshelf_add_unit_test(core DEPENDS core)
chiveshelf_add_unit_test(cache DEPENDS cache LIBRARIES rapidcheck)
chiveshelf_add_unit_test(tables DEPENDS tables)

# Each integration test has a NETWORK number of its own.
chiveshelf_add_integration_test(WholePathTest NETWORK 11)
chiveshelf_add_integration_test(CacheFaultTest NETWORK 60)
chiveshelf_add_integration_test(CacheIsolationTest NETWORK 61)
chiveshelf_add_integration_test(CacheReturnTest NETWORK 62)
chiveshelf_add_integration_test(FaultProxyTest NETWORK 50)
