include(CMakeFindDependencyMacro)
find_dependency(Boost 1.81 COMPONENTS json)
include(${CMAKE_CURRENT_LIST_DIR}/auburnyardTargets.cmake)
