# chiveshelf_add_package(NAME DEPENDS ...) adds the static library chiveshelf_NAME with the sources of packages/NAME.
# Files named *StateMachine.cpp use Boost.MSM. Boost.MSM 1.74 does not compile as C++20, so they are compiled as C++17 in an
# object library.
function(chiveshelf_add_package NAME)
    cmake_parse_arguments(ARG "" "" "DEPENDS;LIBRARIES" ${ARGN})
    set(folder ${CMAKE_SOURCE_DIR}/packages/${NAME})
    file(GLOB sources CONFIGURE_DEPENDS ${folder}/chiveshelf/${NAME}/*.cpp)
    set(state_machine_sources ${sources})
    list(FILTER state_machine_sources INCLUDE REGEX "StateMachine\\.cpp$")
    list(FILTER sources EXCLUDE REGEX "(StateMachine|main)\\.cpp$")
    add_library(chiveshelf_${NAME} STATIC ${sources})
    target_include_directories(chiveshelf_${NAME} PUBLIC ${folder})
    target_link_libraries(chiveshelf_${NAME} PUBLIC chiveshelf_options ${ARG_LIBRARIES})
    foreach(dependency ${ARG_DEPENDS})
        target_link_libraries(chiveshelf_${NAME} PUBLIC chiveshelf_${dependency})
    endforeach()
    chiveshelf_use_pch(chiveshelf_${NAME})
    if(state_machine_sources)
        add_library(chiveshelf_${NAME}_machines OBJECT ${state_machine_sources})
        set_target_properties(chiveshelf_${NAME}_machines PROPERTIES CXX_STANDARD 17)
        target_include_directories(chiveshelf_${NAME}_machines PRIVATE ${folder} ${CMAKE_SOURCE_DIR}/packages/core)
        target_link_libraries(chiveshelf_${NAME}_machines PRIVATE chiveshelf_options)
        target_sources(chiveshelf_${NAME} PRIVATE $<TARGET_OBJECTS:chiveshelf_${NAME}_machines>)
    endif()
endfunction()

# Adds the library with the sources of platform/, which implement the interfaces of the users' platform.
function(chiveshelf_add_platform)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/platform/*.cpp)
    add_library(chiveshelf_users_platform STATIC ${sources})
    target_include_directories(chiveshelf_users_platform PUBLIC ${CMAKE_SOURCE_DIR})
    target_link_libraries(chiveshelf_users_platform PUBLIC chiveshelf_options chiveshelf_core chiveshelf_http chiveshelf_keyvalue
        chiveshelf_placement chiveshelf_routing)
    chiveshelf_use_pch(chiveshelf_users_platform)
endfunction()

# Makes a target use the common precompiled header. Without it, Asio, Beast and nlohmann-json take seconds to compile per file.
function(chiveshelf_use_pch TARGET)
    target_precompile_headers(${TARGET} REUSE_FROM chiveshelf_pch)
endfunction()

# chiveshelf_add_unit_test(NAME DEPENDS ... [NETWORK N]) builds tests/unit/NAME/*.cpp and adds them as the CTest test unit_NAME. Tests
# that open sockets need a NETWORK of their own, so that they can run in parallel: they use the loopback addresses 127.N.0.0/16.
function(chiveshelf_add_unit_test NAME)
    cmake_parse_arguments(ARG "" "NETWORK" "DEPENDS;LIBRARIES" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/unit/${NAME}/*.cpp)
    add_executable(unit_${NAME} ${sources} ${CMAKE_SOURCE_DIR}/tests/support/UnitTestMain.cpp)
    target_link_libraries(unit_${NAME} PRIVATE chiveshelf_options cppunit ${ARG_LIBRARIES})
    foreach(dependency ${ARG_DEPENDS})
        target_link_libraries(unit_${NAME} PRIVATE chiveshelf_${dependency})
    endforeach()
    chiveshelf_use_pch(unit_${NAME})
    add_test(NAME unit_${NAME} COMMAND unit_${NAME})
    set_tests_properties(unit_${NAME} PROPERTIES TIMEOUT 120)
    if(ARG_NETWORK)
        set_tests_properties(unit_${NAME} PROPERTIES ENVIRONMENT "CHIVESHELF_TEST_NETWORK=${ARG_NETWORK}")
    endif()
endfunction()

# chiveshelf_add_integration_test(NAME NETWORK N [TIMEOUT S] [PROCESSORS N] [SERIAL]) builds tests/integration/NAME.cpp and adds the
# CTest test integration_NAME. Its processes use the loopback addresses 127.N.0.0/16, so that tests can run in parallel. A test with SERIAL
# runs alone.
function(chiveshelf_add_integration_test NAME)
    cmake_parse_arguments(ARG "SERIAL" "NETWORK;TIMEOUT;PROCESSORS" "" ${ARGN})
    add_executable(integration_${NAME} tests/integration/${NAME}.cpp tests/support/UnitTestMain.cpp)
    target_link_libraries(integration_${NAME} PRIVATE chiveshelf_test_support cppunit)
    chiveshelf_use_pch(integration_${NAME})
    add_dependencies(integration_${NAME} chiveshelfd chivesctl chiveshelf_fakes)
    add_test(NAME integration_${NAME} COMMAND integration_${NAME})
    if(NOT ARG_TIMEOUT)
        set(ARG_TIMEOUT 120)
    endif()
    if(NOT ARG_PROCESSORS)
        set(ARG_PROCESSORS 2)
    endif()
    set_tests_properties(integration_${NAME} PROPERTIES
        TIMEOUT ${ARG_TIMEOUT}
        PROCESSORS ${ARG_PROCESSORS}
        ENVIRONMENT "CHIVESHELF_TEST_NETWORK=${ARG_NETWORK};CHIVESHELF_TEST_BINARIES=${CMAKE_BINARY_DIR}/bin")
    if(ARG_SERIAL)
        set_tests_properties(integration_${NAME} PROPERTIES RUN_SERIAL TRUE)
    endif()
endfunction()
